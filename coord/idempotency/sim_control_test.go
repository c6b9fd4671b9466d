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
	copies, syncing, sources []int
	recordsLost, neverSynced bool
	// ready means that the owner has reported Ready.
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
	t.Copies, t.SyncingCopies, t.Sources = ids(e.copies), ids(e.syncing), ids(e.sources)
	return t
}

func (s *sim) node(id table.MemberID) *node { return s.nodes[int(id[0]-'a')] }

func (s *sim) members(list []int) (members []idempotency.Member) {
	for _, i := range list {
		members = append(members, s.nodes[i].member())
	}
	return members
}

// simControl simulates the control group, without failures.
type simControl struct {
	sim         *sim
	entries     []simEntry
	incarnation []uint64
	lastRenewal []time.Duration
}

// simLease is the time without a renewal after which control declares a member
// lost.
const simLease = 1120 * time.Millisecond

func newSimControl(s *sim) *simControl {
	c := &simControl{sim: s, incarnation: make([]uint64, len(s.nodes)), lastRenewal: make([]time.Duration, len(s.nodes))}
	for i, n := range s.nodes {
		c.incarnation[i] = n.incarnation
	}
	for unit := range 2 {
		e := simEntry{owner: unit, epoch: 1, neverSynced: true}
		e.syncing = []int{(unit + 1) % len(s.nodes)}
		c.entries = append(c.entries, e)
	}
	c.check()
	return c
}

// check declares members lost whose lease has ended, and assigns new owners and
// copies.
func (c *simControl) check() {
	for i := range c.lastRenewal {
		if c.incarnation[i] != 0 && c.sim.now-c.lastRenewal[i] > simLease {
			c.incarnation[i] = 0
			for unit := range c.entries {
				c.removeLost(unit, i)
			}
		}
	}
	for unit := range c.entries {
		if c.entries[unit].owner < 0 {
			c.assign(unit, -1)
		} else {
			c.addCopy(unit)
		}
	}
	c.sim.after(50*time.Millisecond, c.check)
}

func (c *simControl) renewed(i int, inc uint64) {
	n := c.sim.nodes[i]
	switch {
	case c.incarnation[i] == inc:
		c.lastRenewal[i] = c.sim.now
	case c.incarnation[i] == 0 && c.wasLost(i, inc):
		c.sim.send(controlIndex, i, func() { n.restartAfterLoss(inc) })
		return
	case c.incarnation[i] == 0:
		c.incarnation[i], c.lastRenewal[i] = inc, c.sim.now
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

// wasLost reports whether control has registered the incarnation before, and
// registers it. It is asked only about a member that control does not know. The
// incarnations of newSimControl are not registered, so such an incarnation is
// accepted once more after its loss.
func (c *simControl) wasLost(i int, inc uint64) bool {
	return c.sim.history.register(i, inc)
}

func (c *simControl) alive(i int) bool { return i >= 0 && c.incarnation[i] != 0 }

// next starts a new epoch of a unit. Its sources are the members that have all
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
	sources = slices.DeleteFunc(slices.Compact(sources), func(i int) bool { return !c.alive(i) || e.neverSynced })
	n := *e
	n.epoch++
	n.copies, n.syncing, n.sources = slices.Clone(e.copies), slices.Clone(e.syncing), sources
	n.recordsLost = e.recordsLost || (!e.neverSynced && len(sources) == 0)
	c.entries[unit] = n
	return &c.entries[unit]
}

func remove(list []int, i int) []int {
	return slices.DeleteFunc(list, func(x int) bool { return x == i })
}

// removeLost removes a lost member from a unit.
func (c *simControl) removeLost(unit, i int) {
	e := c.entries[unit]
	if e.owner == i {
		c.assign(unit, -1)
		return
	}
	if slices.Contains(e.copies, i) || slices.Contains(e.syncing, i) || slices.Contains(e.sources, i) {
		n := c.next(unit)
		n.copies, n.syncing = remove(n.copies, i), remove(n.syncing, i)
	}
}

// assign makes member to the owner of a unit. If to is negative, it chooses a live
// member, preferably one that has the records.
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
	n.copies, n.syncing = remove(n.copies, to), remove(n.syncing, to)
	for i := range c.incarnation {
		if !c.alive(i) {
			n.copies, n.syncing = remove(n.copies, i), remove(n.syncing, i)
		}
	}
	if old != to && c.alive(old) && slices.Contains(n.sources, old) && c.sim.chance(0.5) {
		n.copies = append(n.copies, old)
	}
}

// addCopy adds a syncing copy to a unit that has fewer than two copies.
func (c *simControl) addCopy(unit int) {
	e := c.entries[unit]
	if len(e.copies)+len(e.syncing) >= 2 {
		return
	}
	for _, k := range c.sim.rng.Perm(len(c.incarnation)) {
		if c.alive(k) && k != e.owner && !slices.Contains(e.copies, k) && !slices.Contains(e.syncing, k) {
			n := c.next(unit)
			n.syncing = append(n.syncing, k)
			return
		}
	}
}

func (c *simControl) synced(a idempotency.Synced) {
	unit := int(a.Unit.Shard)
	k := c.sim.node(a.Copy).index
	if e := c.entries[unit]; e.epoch == a.Epoch && slices.Contains(e.syncing, k) {
		n := c.next(unit)
		n.syncing, n.copies = remove(n.syncing, k), append(n.copies, k)
		if n.neverSynced {
			n.neverSynced, n.ready, n.sources = false, true, []int{n.owner}
		}
	}
}

func (c *simControl) ready(a idempotency.Ready) {
	if e := &c.entries[a.Unit.Shard]; e.epoch == a.Epoch {
		e.ready = true
	}
}

// move assigns a unit to another member.
func (c *simControl) move(unit, to int) {
	if c.alive(to) && c.entries[unit].owner != to {
		c.assign(unit, to)
	}
}
