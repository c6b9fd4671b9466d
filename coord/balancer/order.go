package balancer

import (
	"cmp"
	"slices"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/table"
)

// Order returns the targets in the order in which a request asks them for a
// free slot: near ones before far ones, because an answer from another data
// centre costs its bytes, each by expected load, and suspects last. A suspect
// that is due for a probe comes first. The load of far targets is known late;
// asking them in turn finds a free one without knowing.
func (c *Balancer) Order(now clock.Reading, exclude ...table.MemberID) []table.MemberID {
	c.picks++
	type entry struct {
		id   table.MemberID
		rank int
		cost float64
	}
	var list []entry
	probe := false
	for _, i := range c.random.Perm(len(c.targets)) {
		s := c.targets[i]
		late := c.late(s)
		c.review(now, s, late)
		if !s.eligible(exclude) {
			continue
		}
		e := entry{id: s.ID, rank: farRank, cost: s.cost(now, &c.config)}
		switch {
		case s.suspect.active && c.ejection && !probe && c.probeDue(now, s, late):
			c.probed(now, s)
			probe, e.rank = true, probeRank
		case s.suspect.active && c.ejection:
			e.rank = suspectRank
		case c.near(s):
			e.rank = nearRank
		}
		list = append(list, e)
	}
	slices.SortStableFunc(list, func(a, b entry) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.cost, b.cost))
	})
	out := make([]table.MemberID, len(list))
	for i, e := range list {
		out[i] = e.id
	}
	return out
}

const (
	probeRank = iota
	nearRank
	farRank
	suspectRank
)
