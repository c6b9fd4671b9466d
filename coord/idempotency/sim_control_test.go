package idempotency_test

import (
	"slices"
	"time"

	"bramleyquay.example/coord/idempotency"
	"bramleyquay.example/coord/table"
)

// simEntry is a table entry with members as indexes.
type simEntry struct {
	owner                    int
	epoch                    uint64
	copies, joining, sources []int
	lost, fresh              bool
	// ready means that the owner reported that it holds the records.
	ready bool
}

func (e simEntry) table(s *sim, unit int) *table.Entry {
	t := &table.Entry{Unit: simUnit(unit), Epoch: e.epoch}
	ids := func(list []int) (ids []table.MemberID) {
		for _, i := range list {
			ids = append(ids, s.nodes[i].id)
		}
		return ids
	}
	if e.owner >= 0 {
		t.Owner = s.nodes[e.owner].id
	}
	t.Copies, t.SyncingCopies, t.Sources = ids(e.copies), ids(e.joining), ids(e.sources)
	return t
}

func (s *sim) node(id table.MemberID) *node { return s.nodes[int(id[0]-'a')] }

func (s *sim) members(list []int) (members []idempotency.Member) {
	for _, i := range list {
		members = append(members, s.nodes[i].member())
	}
	return members
}

// simControl stands in for the control group. It never fails.
type simControl struct {
	sim         *sim
	entries     []simEntry
	incarnation []uint64
	heard       []time.Duration
}

const simLease = 1120 * time.Millisecond

func newSimControl(s *sim) *simControl {
	c := &simControl{sim: s, incarnation: make([]uint64, len(s.nodes)), heard: make([]time.Duration, len(s.nodes))}
	for i, n := range s.nodes {
		c.incarnation[i] = n.incarnation
	}
	for unit := range 2 {
		e := simEntry{owner: unit, epoch: 1, fresh: true}
		e.joining = []int{(unit + 1) % len(s.nodes)}
		c.entries = append(c.entries, e)
	}
	c.check()
	return c
}

// check declares members lost whose lease has ended.
func (c *simControl) check() {
	for i := range c.heard {
		if c.incarnation[i] != 0 && c.sim.now-c.heard[i] > simLease {
			c.incarnation[i] = 0
			for unit := range c.entries {
				c.lose(unit, i)
			}
		}
	}
	for unit := range c.entries {
		if c.entries[unit].owner < 0 {
			c.assign(unit, -1)
		} else {
			c.fill(unit)
		}
	}
	c.sim.after(50*time.Millisecond, c.check)
}

func (c *simControl) renewed(i int, inc uint64) {
	n := c.sim.nodes[i]
	switch {
	case c.incarnation[i] == inc:
		c.heard[i] = c.sim.now
	case c.incarnation[i] == 0 && c.wasLost(i, inc):
		c.sim.send(controlIndex, i, func() { n.fenced(inc) })
		return
	case c.incarnation[i] == 0:
		c.incarnation[i], c.heard[i] = inc, c.sim.now
	default:
		return // pending until the lease of the earlier incarnation has ended
	}
	entries := slices.Clone(c.entries)
	c.sim.send(controlIndex, i, func() {
		if n.incarnation == inc {
			n.apply(entries)
		}
	})
}

// wasLost reports whether the incarnation had been registered before.
func (c *simControl) wasLost(i int, inc uint64) bool {
	return c.sim.history.registered(i, inc)
}

func (c *simControl) alive(i int) bool { return i >= 0 && c.incarnation[i] != 0 }

// next starts a new epoch of a unit. Sources are the members that hold all
// records at the epoch that ends.
func (c *simControl) next(unit int) *simEntry {
	e := &c.entries[unit]
	sources := slices.Clone(e.copies)
	if e.ready {
		sources = append(sources, e.owner)
	}
	if len(e.copies) == 0 {
		sources = append(sources, e.sources...)
	}
	slices.Sort(sources)
	sources = slices.DeleteFunc(slices.Compact(sources), func(i int) bool { return !c.alive(i) || e.fresh })
	n := *e
	n.epoch++
	n.copies, n.joining, n.sources = slices.Clone(e.copies), slices.Clone(e.joining), sources
	n.lost = e.lost || (!e.fresh && len(sources) == 0)
	c.entries[unit] = n
	return &c.entries[unit]
}

func remove(list []int, i int) []int {
	return slices.DeleteFunc(list, func(x int) bool { return x == i })
}

// lose removes a lost member from a unit.
func (c *simControl) lose(unit, i int) {
	e := c.entries[unit]
	if e.owner == i {
		c.assign(unit, -1)
		return
	}
	if slices.Contains(e.copies, i) || slices.Contains(e.joining, i) || slices.Contains(e.sources, i) {
		n := c.next(unit)
		n.copies, n.joining = remove(n.copies, i), remove(n.joining, i)
	}
}

// assign gives a unit to member to, or to a member that holds the records.
func (c *simControl) assign(unit, to int) {
	old := c.entries[unit].owner
	n := c.next(unit)
	for i := range c.incarnation {
		if to < 0 && c.alive(i) && (slices.Contains(n.sources, i) || len(n.sources) == 0) {
			to = i
		}
	}
	for i := range c.incarnation {
		if to < 0 && c.alive(i) {
			to = i
		}
	}
	n.owner, n.ready = to, false
	n.copies, n.joining = remove(n.copies, to), remove(n.joining, to)
	for i := range c.incarnation {
		if !c.alive(i) {
			n.copies, n.joining = remove(n.copies, i), remove(n.joining, i)
		}
	}
	if old != to && c.alive(old) && slices.Contains(n.sources, old) && c.sim.chance(0.5) {
		n.copies = append(n.copies, old)
	}
}

// fill adds a joining copy while a unit has too few.
func (c *simControl) fill(unit int) {
	e := c.entries[unit]
	if len(e.copies)+len(e.joining) >= 2 {
		return
	}
	for _, k := range c.sim.rng.Perm(len(c.incarnation)) {
		if c.alive(k) && k != e.owner && !slices.Contains(e.copies, k) && !slices.Contains(e.joining, k) {
			n := c.next(unit)
			n.joining = append(n.joining, k)
			return
		}
	}
}

func (c *simControl) synced(a idempotency.Synced) {
	unit := int(a.Unit.Shard)
	k := c.sim.node(a.Copy).index
	if e := c.entries[unit]; e.epoch == a.Epoch && slices.Contains(e.joining, k) {
		n := c.next(unit)
		n.joining, n.copies = remove(n.joining, k), append(n.copies, k)
		if n.fresh {
			n.fresh, n.ready, n.sources = false, true, []int{n.owner}
		}
	}
}

func (c *simControl) ready(a idempotency.Ready) {
	if e := &c.entries[a.Unit.Shard]; e.epoch == a.Epoch {
		e.ready = true
	}
}

// move hands a unit to another member.
func (c *simControl) move(unit, to int) {
	if c.alive(to) && c.entries[unit].owner != to {
		c.assign(unit, to)
	}
}
