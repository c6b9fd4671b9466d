package control

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

// interval is a span of true time in which someone may work on a key.
type interval struct {
	start, end  time.Duration
	member      table.MemberID
	incarnation uint64
}

// checker records who works on which key, and whom the log gives it to.
type checker struct {
	open     map[table.MemberID]map[string]interval // member, key
	acting   map[string][]interval                  // by key
	given    map[string][]interval                  // by key; the last one is open
	entries  map[shard.Unit]table.Entry             // newest of each unit, removed ones included
	revision uint64
	config   uint64
	seen     map[table.MemberID][3]uint64 // incarnation, table and document revision
	faults   []string
}

func newChecker() *checker {
	return &checker{
		open: map[table.MemberID]map[string]interval{}, acting: map[string][]interval{}, given: map[string][]interval{},
		entries: map[shard.Unit]table.Entry{}, seen: map[table.MemberID][3]uint64{},
	}
}

func (c *checker) fault(format string, args ...any) {
	c.faults = append(c.faults, fmt.Sprintf(format, args...))
}

// refresh ends the member's open intervals and opens those of its new state.
func (c *checker) refresh(m *simMember) {
	now := m.s.now
	for key, o := range c.open[m.id] {
		o.end = min(o.end, now)
		c.record(key, o)
	}
	c.open[m.id] = map[string]interval{}
	if m.down || m.clock.paused || !m.holder.Valid(m.clock.at(now)) {
		return
	}
	end := m.leaseEnd()
	for _, key := range simKeys {
		if _, ok := m.acts(key); ok {
			c.open[m.id][key] = interval{now, end, m.id, m.incarnation}
		}
	}
}

func (c *checker) record(key string, o interval) {
	if o.end > o.start {
		c.acting[key] = append(c.acting[key], o)
	}
}

// revisions checks that a member's revisions do not fall within an incarnation.
func (c *checker) revisions(m *simMember) {
	now := [3]uint64{m.incarnation, m.tbl.Revision(), m.revision}
	old := c.seen[m.id]
	if old[0] == now[0] && (now[1] < old[1] || now[2] < old[2]) {
		c.fault("%s: revisions fell from %v to %v", m.id, old, now)
	}
	c.seen[m.id] = now
}

// table follows the log: epochs and revisions rise, and ownership changes.
func (c *checker) table(now time.Duration, s *State) {
	revision, doc, _ := s.Document()
	if s.Table().Revision() < c.revision || revision < c.config {
		c.fault("revisions of the log fell")
	}
	if s.Table().Revision() == c.revision && revision == c.config {
		return
	}
	c.revision, c.config = s.Table().Revision(), revision
	s.Table().Each(func(e *table.Entry) bool {
		old := c.entries[e.Unit]
		changed := e.Owner != old.Owner || !sameMembers(e.Copies, old.Copies) || !sameMembers(e.SyncingCopies, old.SyncingCopies)
		if e.Epoch < old.Epoch || (changed && e.Epoch == old.Epoch) {
			c.fault("%s: epoch did not rise from %+v to %+v", e.Unit, old, *e)
		}
		c.entries[e.Unit] = *e
		return true
	})
	service := doc.Service("pay")
	for _, key := range simKeys {
		o := interval{start: now, end: 1 << 62}
		if service != nil {
			if name, ok := service.KeyspaceOf(key); ok {
				if e := s.Table().Lookup(name, shard.Hash(key)); e != nil && e.Phase != table.Unowned {
					m, _ := s.Member(e.Owner)
					o.member, o.incarnation = e.Owner, m.Incarnation
				}
			}
		}
		list := c.given[key]
		if n := len(list); n > 0 {
			if list[n-1].member == o.member && list[n-1].incarnation == o.incarnation {
				continue
			}
			list[n-1].end = now
		}
		c.given[key] = append(list, o)
	}
}

// finish ends all intervals and returns what was violated.
func (c *checker) finish(s *sim) []string {
	for _, m := range s.members {
		c.refresh(m)
		for key, o := range c.open[m.id] {
			c.record(key, o)
		}
	}
	for _, key := range simKeys {
		c.overlaps(key)
	}
	return c.faults
}

// overlaps finds two workers on a key at one instant, and a worker on a key
// that the log has given to another one.
func (c *checker) overlaps(key string) {
	list := slices.Clone(c.acting[key])
	slices.SortFunc(list, func(a, b interval) int { return cmp.Compare(a.start, b.start) })
	for i, a := range list {
		for _, b := range list[i+1:] {
			if b.start >= a.end {
				break
			}
			if a.member != b.member || a.incarnation != b.incarnation {
				c.fault("key %s: %v and %v act at the same time", key, a, b)
			}
		}
		for _, g := range c.given[key] {
			other := g.member != "" && (g.member != a.member || g.incarnation != a.incarnation)
			if other && g.start < a.end && a.start < g.end {
				c.fault("key %s: %v acts although the log gives it to %v", key, a, g)
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
