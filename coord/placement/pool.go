package placement

import (
	"cmp"
	"container/heap"
	"maps"
	"slices"

	"bramleyquay.example/coord/table"
)

// minWeight keeps a member at the very start of its ramp from dividing by zero.
const minWeight = 0.01

// slot is a member with its load during one planning run.
type slot struct {
	Member
	load float64
	pos  int
}

// pool orders the members of each data centre by load over weight. Finding
// the member for a unit costs the number of data centres, a change the
// logarithm of the members of one of them.
type pool struct {
	slots  map[table.MemberID]*slot
	heaps  map[string]*slotHeap
	names  []string
	step   float64 // typical unit load; makes small weights count
	weight float64 // sum of weights
	load   float64 // sum of loads
}

func newPool(members []Member, current map[table.MemberID]float64, step float64) *pool {
	p := &pool{slots: make(map[table.MemberID]*slot, len(members)), heaps: map[string]*slotHeap{}, step: step}
	for _, m := range members {
		if p.slots[m.ID] != nil {
			continue
		}
		if m.Weight <= 0 {
			m.Weight = 1
		}
		m.Weight = max(m.Weight, minWeight)
		s := &slot{Member: m, load: current[m.ID]}
		p.slots[m.ID] = s
		h := p.heaps[m.DataCentre]
		if h == nil {
			h = &slotHeap{step: step}
			p.heaps[m.DataCentre] = h
		}
		s.pos = len(h.slots)
		h.slots = append(h.slots, s)
		p.weight += m.Weight
		p.load += s.load
	}
	for _, h := range p.heaps {
		heap.Init(h)
	}
	p.names = slices.Sorted(maps.Keys(p.heaps))
	return p
}

// mean returns the load that a member of weight 1 should carry.
func (p *pool) mean() float64 {
	if p.weight == 0 {
		return 0
	}
	return p.load / p.weight
}

// add changes the load of s.
func (p *pool) add(s *slot, load float64) {
	s.load += load
	heap.Fix(p.heaps[s.DataCentre], s.pos)
}

// lowest returns the member with the least load that may receive u, or nil.
func (p *pool) lowest(u *UnitInfo) *slot {
	var best *slot
	for _, name := range p.allowed(u) {
		h := p.heaps[name]
		if h == nil {
			continue
		}
		if s := h.lowest(u.Avoid); s != nil && (best == nil || less(s, best, p.step)) {
			best = s
		}
	}
	return best
}

func (p *pool) allowed(u *UnitInfo) []string {
	if len(u.DataCentres) == 0 {
		return p.names
	}
	return u.DataCentres
}

// allows reports whether s may receive u.
func (s *slot) allows(u *UnitInfo) bool {
	return (len(u.DataCentres) == 0 || slices.Contains(u.DataCentres, s.DataCentre)) && !slices.Contains(u.Avoid, s.ID)
}

func less(a, b *slot, step float64) bool {
	if c := cmp.Compare((a.load+step)/a.Weight, (b.load+step)/b.Weight); c != 0 {
		return c < 0
	}
	return a.ID < b.ID
}

// slotHeap is a heap of the members of one data centre, least loaded first.
type slotHeap struct {
	slots []*slot
	step  float64
}

func (h *slotHeap) Len() int           { return len(h.slots) }
func (h *slotHeap) Less(i, j int) bool { return less(h.slots[i], h.slots[j], h.step) }
func (h *slotHeap) Push(x any)         { h.slots = append(h.slots, x.(*slot)) }
func (h *slotHeap) Swap(i, j int) {
	h.slots[i], h.slots[j] = h.slots[j], h.slots[i]
	h.slots[i].pos, h.slots[j].pos = i, j
}

// Pop implements heap.Interface.
func (h *slotHeap) Pop() any {
	last := h.slots[len(h.slots)-1]
	h.slots = h.slots[:len(h.slots)-1]
	return last
}

// lowest returns the least loaded member that is not in avoid, or nil. The
// short list of avoided members makes a scan of the whole heap rare.
func (h *slotHeap) lowest(avoid []table.MemberID) *slot {
	if len(h.slots) == 0 {
		return nil
	}
	if !slices.Contains(avoid, h.slots[0].ID) {
		return h.slots[0]
	}
	var best *slot
	for _, s := range h.slots[1:] {
		if !slices.Contains(avoid, s.ID) && (best == nil || less(s, best, h.step)) {
			best = s
		}
	}
	return best
}
