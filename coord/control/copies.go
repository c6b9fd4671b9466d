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

// copyPlan is the change that the record copies of one unit need.
type copyPlan struct {
	entry *table.Entry
	drop  []table.MemberID
	// missing is the number of copies that the unit lacks; each scan adds at most
	// one. replacesLost is set if copies were lost: the switch for replacements
	// controls these changes.
	missing      int
	replacesLost bool
}

// planCopies compares the copies of a served unit with the copies that its
// service requires: want copies, all in other data centres than the owner. It
// reports whether a change is needed. In-sync copies on unsuitable members are
// removed only once want suitable copies are in sync, so that a replacement does not
// reduce the number of copies.
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
	synced, syncing := 0, 0
	for _, id := range e.Copies {
		if fits(id) {
			synced++
		}
	}
	for _, id := range e.SyncingCopies {
		if fits(id) && synced+syncing < want {
			syncing++
		} else {
			p.drop = append(p.drop, id)
		}
	}
	if synced >= want {
		p.drop = append(p.drop, c.surplusCopies(e, want, fits)...)
	}
	p.missing = max(want-synced-syncing, 0)
	// With want copies in total nothing was lost: a copy is in the wrong data
	// centre or on a draining member. A unit that never had copies or sources
	// is new.
	isNew := len(e.Copies) == 0 && len(e.SyncingCopies) == 0 && len(e.Sources) == 0 && !e.RecordsLost
	p.replacesLost = len(e.Copies)+len(e.SyncingCopies) < want && !isNew
	return p, p.missing > 0 || len(p.drop) > 0
}

// surplusCopies returns the in-sync copies to remove: those on unsuitable members
// and those beyond the first want suitable ones. It is called only if want suitable
// copies are in sync.
func (c *Controller) surplusCopies(e *table.Entry, want int, fits func(table.MemberID) bool) []table.MemberID {
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

// proposeCopyChanges proposes changes of record copies. Replacements of lost copies
// become an action for operators if automatic replacement is off.
func (c *Controller) proposeCopyChanges(now clock.Reading, s *State, plans []copyPlan) {
	if len(plans) > c.cfg.MaxCopyChangesPerScan {
		plans, c.scanIncomplete = plans[:c.cfg.MaxCopyChangesPerScan], true
	}
	var missing []missingCopy
	for _, p := range plans {
		if p.missing > 0 {
			missing = append(missing, missingCopy{entry: p.entry, owner: p.entry.Owner})
		}
	}
	join := c.placeCopies(now, s, missing)
	allowed := s.doc.Automation.Allowed(config.ActionReplicaReplacement)
	unapproved := map[string][]Command{}
	for _, p := range plans {
		cmd := &ChangeCopies{Unit: p.entry.Unit, Epoch: p.entry.Epoch, Drop: p.drop}
		to, found := join[p.entry.Unit]
		switch {
		case found && p.replacesLost && !allowed:
			service := s.keyspaces[p.entry.Unit.Keyspace].Service
			syncing := &ChangeCopies{Unit: cmd.Unit, Epoch: cmd.Epoch, Join: []table.MemberID{to}}
			unapproved[service] = append(unapproved[service], Command{ChangeCopies: syncing})
		case found:
			cmd.Join = []table.MemberID{to}
		}
		if len(cmd.Drop)+len(cmd.Join) > 0 {
			c.propose(now, Command{ChangeCopies: cmd})
		}
	}
	for _, service := range sortedKeys(unapproved) {
		c.proposeAction(now, s, ProposedAction{
			ID: "replicaReplacement/" + service, Kind: config.ActionReplicaReplacement,
			Summary: fmt.Sprintf("replace %d lost record copies of %s", len(unapproved[service]), service), Commands: unapproved[service],
		})
	}
}

// addCopies adds one record copy to the assignment of each unit with too few copies.
// While automatic replacement is off, it does so for new units only.
func (c *Controller) addCopies(now clock.Reading, s *State, as []Assignment, entries map[shard.Unit]*table.Entry) {
	allowed := s.doc.Automation.Allowed(config.ActionReplicaReplacement)
	var missing []missingCopy
	for _, a := range as {
		e := entries[a.Unit]
		isNew := len(e.Copies) == 0 && e.Owner == "" && !e.RecordsLost
		copies := len(without(e.Copies, only(a.To))) + len(without(e.SyncingCopies, only(a.To)))
		if copies < s.copiesOf(a.Unit.Keyspace) && (allowed || isNew) {
			missing = append(missing, missingCopy{entry: e, owner: a.To})
		}
	}
	join := c.placeCopies(now, s, missing)
	for i := range as {
		if to, ok := join[as[i].Unit]; ok {
			as[i].Join = []table.MemberID{to}
		}
	}
}

// missingCopy is a unit that lacks a record copy, and its current or planned owner.
type missingCopy struct {
	entry *table.Entry
	owner table.MemberID
}

// placeCopies chooses a member for each missing copy, in another data centre than
// the owner. It prefers members that may own the unit and spreads copies evenly.
func (c *Controller) placeCopies(now clock.Reading, s *State, missing []missingCopy) map[shard.Unit]table.MemberID {
	out := map[shard.Unit]table.MemberID{}
	groups := map[string][]missingCopy{}
	for _, w := range missing {
		groups[w.entry.Unit.Keyspace] = append(groups[w.entry.Unit.Keyspace], w)
	}
	for _, name := range sortedKeys(groups) {
		k := s.keyspaces[name]
		for _, pool := range c.copyPools(now, s, &k) {
			var units []placement.UnitInfo
			for _, w := range groups[name] {
				if _, done := out[w.entry.Unit]; !done {
					units = append(units, c.copyUnitInfo(s, w, pool))
				}
			}
			load := map[table.MemberID]float64{}
			for _, m := range pool {
				load[m.ID] = float64(len(s.unitsOf(m.ID).copies))
			}
			for _, a := range c.planner(k.Service).Assign(units, pool, load) {
				out[a.Unit] = a.To
			}
		}
	}
	return out
}

// copyPools returns the members that may hold copies in two lists: first those
// that may own units of the key space, then the others.
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

// copyUnitInfo returns the constraints for the placement of one copy. Data centres
// that already have a copy are used only if there are no others.
func (c *Controller) copyUnitInfo(s *State, w missingCopy, pool []placement.Member) placement.UnitInfo {
	u := placement.UnitInfo{ID: w.entry.Unit, Avoid: with(w.entry.Copies, w.owner)}
	u.Avoid = append(u.Avoid, w.entry.SyncingCopies...)
	owner, _ := s.Member(w.owner)
	used := map[string]bool{}
	for _, id := range u.Avoid[:len(u.Avoid):len(u.Avoid)] {
		if m, ok := s.Member(id); ok {
			used[m.DataCentre] = true
		}
	}
	var unused, others []string
	for _, m := range pool {
		if m.DataCentre == owner.DataCentre || slices.Contains(others, m.DataCentre) {
			continue
		}
		others = append(others, m.DataCentre)
		if !used[m.DataCentre] {
			unused = append(unused, m.DataCentre)
		}
	}
	u.DataCentres = unused
	if len(unused) == 0 {
		u.DataCentres = others
	}
	if len(u.DataCentres) == 0 {
		// No data centre qualifies. The planner takes an empty list as any data
		// centre, so the list gets a name that no data centre has.
		u.DataCentres = []string{owner.DataCentre + "\x00none"}
	}
	return u
}
