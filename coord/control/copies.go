package control

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/config"
	"bramleyquay.example/coord/placement"
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// copyPlan is what the record copies of one unit need.
type copyPlan struct {
	entry *table.Entry
	drop  []table.MemberID
	// missing copies; automatic says that a loss is the cause, so that the
	// switch for replacements applies.
	missing   int
	automatic bool
}

// planCopies compares the copies of a served unit with what its service wants:
// that many in data centres other than the owner's.
func (c *Controller) planCopies(now clock.Reading, s *State, e *table.Entry, want int) (copyPlan, bool) {
	p := copyPlan{entry: e}
	owner, ok := s.Member(e.Owner)
	if !ok {
		return p, false
	}
	fits := func(id table.MemberID) bool {
		m, ok := s.Member(id)
		return ok && m.DataCentre != owner.DataCentre && c.available(now, &m)
	}
	synced, joining := 0, 0
	for _, id := range e.Copies {
		if fits(id) {
			synced++
		}
	}
	for _, id := range e.SyncingCopies {
		if fits(id) && synced+joining < want {
			joining++
		} else {
			p.drop = append(p.drop, id)
		}
	}
	if synced >= want {
		p.drop = append(p.drop, c.surplus(e, want, fits)...)
	}
	p.missing = max(want-synced-joining, 0)
	// With as many copies as wanted, one of them only stands in the wrong
	// place or drains. A unit that never had records is new.
	fresh := len(e.Copies) == 0 && len(e.SyncingCopies) == 0 && len(e.Sources) == 0 && !e.RecordsLost
	p.automatic = len(e.Copies)+len(e.SyncingCopies) < want && !fresh
	return p, p.missing > 0 || len(p.drop) > 0
}

// surplus lists the in-sync copies that are not needed once want fit.
func (c *Controller) surplus(e *table.Entry, want int, fits func(table.MemberID) bool) []table.MemberID {
	var out []table.MemberID
	kept := 0
	for _, id := range e.Copies {
		if fits(id) && kept < want {
			kept++
		} else {
			out = append(out, id)
		}
	}
	return out
}

// tendCopies proposes changes of record copies, and lists replacements for an
// operator if they are switched off.
func (c *Controller) tendCopies(now clock.Reading, s *State, plans []copyPlan) {
	if len(plans) > c.cfg.MaxCopyChangesPerScan {
		plans, c.unfinished = plans[:c.cfg.MaxCopyChangesPerScan], true
	}
	var wants []copyWant
	for _, p := range plans {
		if p.missing > 0 {
			wants = append(wants, copyWant{entry: p.entry, owner: p.entry.Owner})
		}
	}
	join := c.pickCopies(now, s, wants)
	allowed := s.doc.Automation.Allowed(config.ActionReplicaReplacement)
	waiting := map[string][]Command{}
	for _, p := range plans {
		cmd := &ChangeCopies{Unit: p.entry.Unit, Epoch: p.entry.Epoch, Drop: p.drop}
		to, found := join[p.entry.Unit]
		switch {
		case found && p.automatic && !allowed:
			service := s.keyspaces[p.entry.Unit.Keyspace].Service
			joining := &ChangeCopies{Unit: cmd.Unit, Epoch: cmd.Epoch, Join: []table.MemberID{to}}
			waiting[service] = append(waiting[service], Command{ChangeCopies: joining})
		case found:
			cmd.Join = []table.MemberID{to}
		}
		if len(cmd.Drop)+len(cmd.Join) > 0 {
			c.propose(now, Command{ChangeCopies: cmd})
		}
	}
	for _, service := range sortedKeys(waiting) {
		c.proposeAction(now, s, ProposedAction{
			ID: "replicaReplacement/" + service, Kind: config.ActionReplicaReplacement,
			Summary: fmt.Sprintf("replace %d lost record copies of %s", len(waiting[service]), service), Commands: waiting[service],
		})
	}
}

// joinCopies adds record copies to assignments of units that have too few.
func (c *Controller) joinCopies(now clock.Reading, s *State, as []Assignment, entries map[shard.Unit]*table.Entry) {
	allowed := s.doc.Automation.Allowed(config.ActionReplicaReplacement)
	var wants []copyWant
	for _, a := range as {
		e := entries[a.Unit]
		fresh := len(e.Copies) == 0 && e.Owner == "" && !e.RecordsLost
		held := len(without(e.Copies, only(a.To))) + len(without(e.SyncingCopies, only(a.To)))
		if held < s.copiesOf(a.Unit.Keyspace) && (allowed || fresh) {
			wants = append(wants, copyWant{entry: e, owner: a.To})
		}
	}
	join := c.pickCopies(now, s, wants)
	for i := range as {
		if to, ok := join[as[i].Unit]; ok {
			as[i].Join = []table.MemberID{to}
		}
	}
}

// copyWant is a unit that lacks a record copy, with its owner to be.
type copyWant struct {
	entry *table.Entry
	owner table.MemberID
}

// pickCopies finds a member for each wanted copy: in another data centre than
// the owner, if possible one that could become the owner, and spread evenly.
func (c *Controller) pickCopies(now clock.Reading, s *State, wants []copyWant) map[shard.Unit]table.MemberID {
	out := map[shard.Unit]table.MemberID{}
	groups := map[string][]copyWant{}
	for _, w := range wants {
		groups[w.entry.Unit.Keyspace] = append(groups[w.entry.Unit.Keyspace], w)
	}
	for _, name := range sortedKeys(groups) {
		k := s.keyspaces[name]
		for _, pool := range c.copyPools(now, s, &k) {
			var units []placement.UnitInfo
			for _, w := range groups[name] {
				if _, done := out[w.entry.Unit]; !done {
					units = append(units, c.copyUnit(s, w, pool))
				}
			}
			load := map[table.MemberID]float64{}
			for _, m := range pool {
				load[m.ID] = float64(len(s.held(m.ID).copies))
			}
			for _, a := range c.planner(k.Service).Assign(units, pool, load) {
				out[a.Unit] = a.To
			}
		}
	}
	return out
}

// copyPools returns the members that may hold copies, the better ones first.
func (c *Controller) copyPools(now clock.Reading, s *State, k *keyspace) [][]placement.Member {
	var owners, others []placement.Member
	for _, r := range s.members {
		m := &r.Member
		if !c.available(now, m) {
			continue
		}
		p := placement.Member{ID: m.ID, DataCentre: m.DataCentre}
		if k.serves(m) {
			owners = append(owners, p)
		} else {
			others = append(others, p)
		}
	}
	sortCandidates(owners)
	sortCandidates(others)
	return [][]placement.Member{owners, others}
}

// copyUnit is the placement problem of one copy. Data centres that hold a copy
// already are left out while others remain.
func (c *Controller) copyUnit(s *State, w copyWant, pool []placement.Member) placement.UnitInfo {
	u := placement.UnitInfo{ID: w.entry.Unit, Avoid: with(w.entry.Copies, w.owner)}
	u.Avoid = append(u.Avoid, w.entry.SyncingCopies...)
	owner, _ := s.Member(w.owner)
	used := map[string]bool{}
	for _, id := range u.Avoid[:len(u.Avoid):len(u.Avoid)] {
		if m, ok := s.Member(id); ok {
			used[m.DataCentre] = true
		}
	}
	var fresh, any []string
	for _, m := range pool {
		if m.DataCentre == owner.DataCentre || slices.Contains(any, m.DataCentre) {
			continue
		}
		any = append(any, m.DataCentre)
		if !used[m.DataCentre] {
			fresh = append(fresh, m.DataCentre)
		}
	}
	u.DataCentres = fresh
	if len(fresh) == 0 {
		u.DataCentres = any
	}
	if len(u.DataCentres) == 0 {
		u.DataCentres = []string{owner.DataCentre + "\x00none"}
	}
	return u
}
