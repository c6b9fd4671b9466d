package placement

import (
	"cmp"
	"container/heap"
	"maps"
	"slices"

	"bramleyquay.example/coord/table"
)

// minWeight avoids divisions by almost zero for a member at the start of its
// ramp.
const minWeight = 0.01

// memberLoad is a member with its load during one planning run.
type memberLoad struct {
	Member
	load      float64
	heapIndex int
}

// pool orders the members of each data centre by load over weight in a heap.
// Finding the member for a unit takes time proportional to the number of data
// centres, changing a load to the logarithm of the members of one data centre.
type pool struct {
	members     map[table.MemberID]*memberLoad
	heaps       map[string]*memberHeap
	dataCentres []string
	typicalLoad float64 // mean load of a unit; added in comparisons, so that weights matter for members without load
	weight      float64 // sum of weights
	load        float64 // sum of loads
}

func newPool(members []Member, current map[table.MemberID]float64, typicalLoad float64) *pool {
	p := &pool{members: make(map[table.MemberID]*memberLoad, len(members)), heaps: map[string]*memberHeap{}, typicalLoad: typicalLoad}
	for _, m := range members {
		if p.members[m.ID] != nil {
			continue
		}
		if m.Weight <= 0 {
			m.Weight = 1
		}
		m.Weight = max(m.Weight, minWeight)
		ml := &memberLoad{Member: m, load: current[m.ID]}
		p.members[m.ID] = ml
		h := p.heaps[m.DataCentre]
		if h == nil {
			h = &memberHeap{typicalLoad: typicalLoad}
			p.heaps[m.DataCentre] = h
		}
		ml.heapIndex = len(h.members)
		h.members = append(h.members, ml)
		p.weight += m.Weight
		p.load += ml.load
	}
	for _, h := range p.heaps {
		heap.Init(h)
	}
	p.dataCentres = slices.Sorted(maps.Keys(p.heaps))
	return p
}

// mean returns the load of a member of weight 1 if all are balanced.
func (p *pool) mean() float64 {
	if p.weight == 0 {
		return 0
	}
	return p.load / p.weight
}

// addLoad adds load, which may be negative, to m.
func (p *pool) addLoad(m *memberLoad, load float64) {
	m.load += load
	heap.Fix(p.heaps[m.DataCentre], m.heapIndex)
}

// leastLoaded returns the least loaded member that may receive u, or nil.
func (p *pool) leastLoaded(u *UnitInfo) *memberLoad {
	var best *memberLoad
	for _, name := range p.allowedDataCentres(u) {
		h := p.heaps[name]
		if h == nil {
			continue
		}
		if m := h.leastLoaded(u.Avoid); m != nil && (best == nil || lessLoaded(m, best, p.typicalLoad)) {
			best = m
		}
	}
	return best
}

// allowedDataCentres returns the names of the data centres that u may be in.
func (p *pool) allowedDataCentres(u *UnitInfo) []string {
	if len(u.DataCentres) == 0 {
		return p.dataCentres
	}
	return u.DataCentres
}

// allows reports whether m may receive u.
func (m *memberLoad) allows(u *UnitInfo) bool {
	return (len(u.DataCentres) == 0 || slices.Contains(u.DataCentres, m.DataCentre)) && !slices.Contains(u.Avoid, m.ID)
}

// lessLoaded reports whether a has less load over weight than b, each with one
// more unit of the typical load. Equal members are ordered by id.
func lessLoaded(a, b *memberLoad, typicalLoad float64) bool {
	if c := cmp.Compare((a.load+typicalLoad)/a.Weight, (b.load+typicalLoad)/b.Weight); c != 0 {
		return c < 0
	}
	return a.ID < b.ID
}

// memberHeap is a heap of the members of one data centre, least loaded first.
type memberHeap struct {
	members     []*memberLoad
	typicalLoad float64
}

func (h *memberHeap) Len() int { return len(h.members) }
func (h *memberHeap) Less(i, j int) bool {
	return lessLoaded(h.members[i], h.members[j], h.typicalLoad)
}
func (h *memberHeap) Push(x any) { h.members = append(h.members, x.(*memberLoad)) }
func (h *memberHeap) Swap(i, j int) {
	h.members[i], h.members[j] = h.members[j], h.members[i]
	h.members[i].heapIndex, h.members[j].heapIndex = i, j
}

// Pop implements heap.Interface.
func (h *memberHeap) Pop() any {
	last := h.members[len(h.members)-1]
	h.members = h.members[:len(h.members)-1]
	return last
}

// leastLoaded returns the least loaded member that is not in avoid, or nil. It
// scans the whole heap only if the first member is to be avoided, which is rare
// because the list is short.
func (h *memberHeap) leastLoaded(avoid []table.MemberID) *memberLoad {
	if len(h.members) == 0 {
		return nil
	}
	if !slices.Contains(avoid, h.members[0].ID) {
		return h.members[0]
	}
	var best *memberLoad
	for _, m := range h.members[1:] {
		if !slices.Contains(avoid, m.ID) && (best == nil || lessLoaded(m, best, h.typicalLoad)) {
			best = m
		}
	}
	return best
}
