package control

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

// servingInterval is a period of true time in which a member may work on a key.
type servingInterval struct {
	start, end  time.Duration
	member      table.MemberID
	incarnation uint64
}

// checker records which members work on each key and to whom the log assigns it.
type checker struct {
	openIntervals map[table.MemberID]map[string]servingInterval // member, key
	served        map[string][]servingInterval                  // by key
	assigned      map[string][]servingInterval                  // by key; the last interval has no end yet
	entries       map[shard.Unit]table.Entry                    // newest entry of each unit, including removed units
	revision      uint64
	config        uint64
	lastReported  map[table.MemberID][3]uint64 // incarnation, table and document revision
	faults        []string
}

func newChecker() *checker {
	return &checker{
		openIntervals: map[table.MemberID]map[string]servingInterval{}, served: map[string][]servingInterval{}, assigned: map[string][]servingInterval{},
		entries: map[shard.Unit]table.Entry{}, lastReported: map[table.MemberID][3]uint64{},
	}
}

func (c *checker) addFault(format string, args ...any) {
	c.faults = append(c.faults, fmt.Sprintf(format, args...))
}

// refresh ends the member's open intervals and opens new ones for its current state.
func (c *checker) refresh(m *simMember) {
	now := m.sim.now
	for key, o := range c.openIntervals[m.id] {
		o.end = min(o.end, now)
		c.record(key, o)
	}
	c.openIntervals[m.id] = map[string]servingInterval{}
	if m.down || m.clock.paused || !m.holder.Valid(m.clock.at(now)) {
		return
	}
	end := m.leaseEnd()
	for _, key := range simKeys {
		if _, ok := m.mayServe(key); ok {
			c.openIntervals[m.id][key] = servingInterval{now, end, m.id, m.incarnation}
		}
	}
}

func (c *checker) record(key string, o servingInterval) {
	if o.end > o.start {
		c.served[key] = append(c.served[key], o)
	}
}

// checkRevisions checks that the revisions of a member do not fall during one
// incarnation.
func (c *checker) checkRevisions(m *simMember) {
	now := [3]uint64{m.incarnation, m.tbl.Revision(), m.revision}
	old := c.lastReported[m.id]
	if old[0] == now[0] && (now[1] < old[1] || now[2] < old[2]) {
		c.addFault("%s: revisions fell from %v to %v", m.id, old, now)
	}
	c.lastReported[m.id] = now
}

// checkLog checks after each log entry that no epoch or revision falls and that the
// epoch of a unit rises when its owner or copies change, and records the new owner of
// each key.
func (c *checker) checkLog(now time.Duration, s *State) {
	revision, doc, _ := s.Document()
	if s.Table().Revision() < c.revision || revision < c.config {
		c.addFault("revisions of the log fell")
	}
	if s.Table().Revision() == c.revision && revision == c.config {
		return
	}
	c.revision, c.config = s.Table().Revision(), revision
	s.Table().Each(func(e *table.Entry) bool {
		old := c.entries[e.Unit]
		changed := e.Owner != old.Owner || !sameMembers(e.Copies, old.Copies) || !sameMembers(e.SyncingCopies, old.SyncingCopies)
		if e.Epoch < old.Epoch || (changed && e.Epoch == old.Epoch) {
			c.addFault("%s: epoch did not rise from %+v to %+v", e.Unit, old, *e)
		}
		c.entries[e.Unit] = *e
		return true
	})
	service := doc.Service("pay")
	for _, key := range simKeys {
		o := servingInterval{start: now, end: 1 << 62}
		if service != nil {
			if name, ok := service.KeyspaceOf(key); ok {
				if e := s.Table().Lookup(name, shard.Hash(key)); e != nil && e.Phase != table.Unowned {
					m, _ := s.Member(e.Owner)
					o.member, o.incarnation = e.Owner, m.Incarnation
				}
			}
		}
		list := c.assigned[key]
		if n := len(list); n > 0 {
			if list[n-1].member == o.member && list[n-1].incarnation == o.incarnation {
				continue
			}
			list[n-1].end = now
		}
		c.assigned[key] = append(list, o)
	}
}

// finish ends all intervals and returns all violations.
func (c *checker) finish(s *sim) []string {
	for _, m := range s.members {
		c.refresh(m)
		for key, o := range c.openIntervals[m.id] {
			c.record(key, o)
		}
	}
	for _, key := range simKeys {
		c.checkOverlaps(key)
	}
	return c.faults
}

// checkOverlaps finds times at which two members work on a key, or a member works on
// a key that the log assigns to another one.
func (c *checker) checkOverlaps(key string) {
	list := slices.Clone(c.served[key])
	slices.SortFunc(list, func(a, b servingInterval) int { return cmp.Compare(a.start, b.start) })
	for i, a := range list {
		for _, b := range list[i+1:] {
			if b.start >= a.end {
				break
			}
			if a.member != b.member || a.incarnation != b.incarnation {
				c.addFault("key %s: %v and %v act at the same time", key, a, b)
			}
		}
		for _, g := range c.assigned[key] {
			other := g.member != "" && (g.member != a.member || g.incarnation != a.incarnation)
			if other && g.start < a.end && a.start < g.end {
				c.addFault("key %s: %v acts although the log assigns the key to %v", key, a, g)
			}
		}
	}
}

func sameMembers(a, b []table.MemberID) bool {
	a, b = slices.Clone(a), slices.Clone(b)
	slices.Sort(a)
	slices.Sort(b)
	return slices.Equal(a, b)
}
