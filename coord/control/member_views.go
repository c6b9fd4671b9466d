package control

import (
	"cmp"
	"slices"
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/config"
	"bramleyquay.example/coord/placement"
	"bramleyquay.example/coord/table"
)

// memberView is the leader's volatile view of a member in this term.
type memberView struct {
	incarnation uint64
	target      uint64
	state       MemberState
	ramping     bool
	rampStart   clock.Reading
	lostSince   clock.Reading
	load        Load
	// The oldest table and document revisions that the member may still use,
	// from its last renewal.
	table, config uint64
}

// observeMembers updates the views after changes of the directory: new and removed
// members, new incarnations and changes of state. All of these raise the directory
// revision, so it skips the pass over the members while that is unchanged.
func (c *Controller) observeMembers(now clock.Reading, s *State) {
	if !c.newTerm && c.observedRevision == s.directory.revision {
		return
	}
	c.observedRevision = s.directory.revision
	for id, r := range s.members {
		c.observeMember(now, id, &r.Member)
	}
	if len(c.views) != len(s.members) {
		for id := range c.views {
			if s.members[id] == nil {
				delete(c.views, id)
				delete(c.lossProposals, id)
				c.tracker.Remove(id)
				c.limiter.Remove(id)
			}
		}
	}
	c.newTerm = false
}

func (c *Controller) observeMember(now clock.Reading, id table.MemberID, m *Member) {
	target := uint64(0)
	if m.Target != nil {
		target = m.Target.Incarnation
	}
	v := c.views[id]
	if v == nil || v.incarnation != m.Incarnation {
		// A registration counts as a renewal, so that the member has a whole
		// lease to send the next one. At the start of a term members get no
		// ramp, because it is not known when their targets started.
		v = &memberView{incarnation: m.Incarnation, target: target, state: m.State, ramping: !c.newTerm, rampStart: now, lostSince: now}
		c.views[id] = v
		delete(c.lossProposals, id)
		c.tracker.RecordRenewal(id, now)
	}
	if m.State == MemberLost && v.state != MemberLost {
		v.lostSince = now
		delete(c.lossProposals, id)
	}
	if target != v.target || (m.State == MemberActive && v.state != MemberActive) {
		v.ramping, v.rampStart = true, now
	}
	v.target, v.state = target, m.State
}

// ramp returns the share of its capacity that a member should carry now, from 0
// to 1. It is below 1 during the slow start of a target.
func (c *Controller) ramp(now clock.Reading, s *State, m *Member) float64 {
	v := c.views[m.ID]
	if v == nil || !v.ramping || m.Target == nil {
		return 1
	}
	start, length := rampOf(s.doc, m.Target)
	share := start + (1-start)*float64(now.MonoSince(v.rampStart))/float64(length)
	if share >= 1 {
		v.ramping = false
		return 1
	}
	return share
}

// rampOf returns the share of capacity, from 0 to 1, at the start of a target's
// ramp, and the length of the ramp.
func rampOf(doc *config.Document, t *Target) (float64, time.Duration) {
	service := config.Service{}
	if found := doc.Service(t.Service); found != nil {
		service = *found
	}
	service = service.WithDefaults()
	start := float64(service.Ramp.StartSlots) / float64(max(t.Slots, 1))
	return min(start, 1), time.Duration(max(service.Ramp.DurationMs, 1)) * time.Millisecond
}

// available reports whether a member may receive units: it is active, its lease
// has not ended and no loss is proposed.
func (c *Controller) available(now clock.Reading, m *Member) bool {
	if m.State != MemberActive {
		return false
	}
	if _, proposed := c.lossProposals[m.ID]; proposed {
		return false
	}
	return !c.expired(now, m)
}

// expired reports whether the lease of a member has ended.
func (c *Controller) expired(now clock.Reading, m *Member) bool {
	return c.tracker.Expired(m.ID, m.Target != nil && m.Target.ChecksFences, now)
}

// candidates returns the available members of a service, by id. Their weights are
// their ramps.
func (c *Controller) candidates(now clock.Reading, s *State, service string) []placement.Member {
	var out []placement.Member
	for _, r := range s.members {
		m := &r.Member
		if m.Target != nil && m.Target.Service == service && c.available(now, m) {
			out = append(out, placement.Member{ID: m.ID, DataCentre: m.DataCentre, Weight: c.ramp(now, s, m)})
		}
	}
	sortCandidates(out)
	return out
}

func sortCandidates(list []placement.Member) {
	slices.SortFunc(list, func(a, b placement.Member) int { return cmp.Compare(a.ID, b.ID) })
}

// unitCounts returns the number of units that each candidate owns or is about to
// receive.
func unitCounts(s *State, members []placement.Member) map[table.MemberID]float64 {
	out := make(map[table.MemberID]float64, len(members))
	for _, m := range members {
		h := s.unitsOf(m.ID)
		out[m.ID] = float64(len(h.owned) + len(h.incoming))
	}
	return out
}
