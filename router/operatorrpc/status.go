package operatorrpc

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"bramleyquay.example/coord/config"
	"bramleyquay.example/coord/control"
	"bramleyquay.example/coord/raft"
	"bramleyquay.example/coord/table"
	"bramleyquay.example/router/operator"
	"bramleyquay.example/router/timesource"
)

// Status implements operator.ControlPlane.
func (svc *Service) Status(ctx context.Context) (operator.Status, error) {
	st := operator.Status{Cluster: svc.cluster, At: time.Now(), Moves: []operator.MoveStatus{}}
	err := svc.read(ctx, func(s *control.State, c *control.Controller) {
		now := timesource.Now()
		view := c.Status(now, s)
		_, doc, _ := s.Document()
		st.Automation, st.Pending, st.TableRevision = doc.Automation, svc.pending(s), view.TableRevision
		fillMembers(&st, view)
		fillServices(&st, s, doc)
		fillDataCentres(&st, view, doc)
		for _, m := range view.Moves {
			st.Moves = append(st.Moves, operator.MoveStatus{Unit: m.Unit.String(), From: string(m.From), To: string(m.To)})
		}
		st.Config = configStatus(view)
	})
	if err != nil {
		return st, err
	}
	propagation, err := svc.node.Propagation(ctx)
	if err != nil {
		return st, svc.operatorError(err)
	}
	st.Config.EverywhereMs = propagation.Elapsed.Milliseconds()
	if err := svc.fillUnservedTimes(ctx, &st); err != nil {
		return st, svc.operatorError(err)
	}
	group, _, err := svc.node.Status(ctx)
	if err != nil {
		return st, svc.operatorError(err)
	}
	st.Leader, st.Term, st.Replicas = string(group.ID), group.Term, replicaStatuses(group)
	addresses, err := svc.node.Addresses(ctx)
	for i := range st.Replicas {
		st.Replicas[i].Address = addresses[st.Replicas[i].ID]
	}
	return st, err
}

// fillUnservedTimes sets for each service the longest time that one of its units
// had no serving owner since this replica became leader.
func (svc *Service) fillUnservedTimes(ctx context.Context, st *operator.Status) error {
	longest, err := svc.node.LongestUnserved(ctx)
	for i := range st.Services {
		st.Services[i].LongestGapMs = longest[st.Services[i].Name].Milliseconds()
	}
	return err
}

// replicaStatuses returns the leader and the replicas that it sends its log to,
// sorted by id.
func replicaStatuses(group raft.Status) []operator.ReplicaStatus {
	list := []operator.ReplicaStatus{{ID: string(group.ID), Voter: group.Membership.IsVoter(group.ID), Position: group.LastIndex, Reachable: true}}
	for id, p := range group.Progress {
		list = append(list, operator.ReplicaStatus{
			ID: string(id), Voter: !p.Learner, Position: p.Match, Behind: group.LastIndex - min(p.Match, group.LastIndex), Reachable: p.Active,
		})
	}
	slices.SortFunc(list, func(a, b operator.ReplicaStatus) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

func fillMembers(st *operator.Status, view control.Status) {
	st.Members = make([]operator.MemberStatus, 0, len(view.Members))
	for _, m := range view.Members {
		ms := operator.MemberStatus{
			ID: string(m.ID), DataCentre: m.DataCentre, Address: m.PeerAddr, State: m.State, Load: m.Load,
			LeaseRemainingMs: m.LeaseMs, Units: m.Owned, ConfigRevision: m.ConfigRevision, Ramping: m.Ramp < 1,
		}
		if m.Target != nil {
			ms.Service, ms.Slots = m.Target.Service, m.Target.Slots
		}
		st.Members = append(st.Members, ms)
	}
}

// fillServices counts the units of each service. A unit in a planned move counts as
// unserved.
func fillServices(st *operator.Status, s *control.State, doc *config.Document) {
	st.Services = make([]operator.ServiceStatus, 0, len(doc.Services))
	for i := range doc.Services {
		service := operator.ServiceStatus{Name: doc.Services[i].Name}
		for _, k := range doc.Services[i].Keyspaces() {
			s.Table().EachInKeyspace(k.Name, func(e *table.Entry) bool {
				service.Units++
				if e.Owner == "" || e.Phase != table.Serving {
					service.Unserved++
				}
				return true
			})
		}
		st.Services = append(st.Services, service)
	}
}

func fillDataCentres(st *operator.Status, view control.Status, doc *config.Document) {
	byName := map[string]*operator.DataCentreStatus{}
	for _, dc := range doc.DataCentres {
		byName[dc.Name] = &operator.DataCentreStatus{Name: dc.Name, Region: dc.Region, Drained: dc.Drained}
	}
	for _, d := range view.Drains {
		if dc := byName[d.Name]; dc != nil && d.Scope == control.DrainDataCentre {
			dc.Drained = true
		}
	}
	for _, m := range st.Members {
		dc := byName[m.DataCentre]
		if dc == nil {
			dc = &operator.DataCentreStatus{Name: m.DataCentre}
			byName[m.DataCentre] = dc
		}
		dc.Members++
		dc.Units += m.Units
		dc.Slots += m.Slots
		dc.Running += m.Load.Running
		dc.Queued += m.Load.Queued
		dc.Rate += m.Load.Rate
	}
	for _, dc := range byName {
		st.DataCentres = append(st.DataCentres, *dc)
	}
	slices.SortFunc(st.DataCentres, func(a, b operator.DataCentreStatus) int { return strings.Compare(a.Name, b.Name) })
}

// configStatus counts the members that may still use an older document than the
// newest. Members declared lost are left out.
func configStatus(view control.Status) operator.ConfigStatus {
	c := operator.ConfigStatus{Revision: view.ConfigRevision, Everywhere: true}
	for _, m := range view.Members {
		if m.State != control.MemberLost && m.ConfigRevision < view.ConfigRevision {
			c.Missing++
			c.Everywhere = false
		}
	}
	return c
}
