package ranges

import (
	"cmp"
	"slices"
)

// Candidate is a holder that ranges may be assigned to.
type Candidate struct {
	Holder Holder
	// Slots is the number of requests that the target runs at once.
	Slots int
	// Capacity is the number of requests per second that the target could serve;
	// zero if it is unknown.
	Capacity float64
	// Utilization is the fraction of the target's slots in use.
	Utilization float64
	// Weight is the weight of the target's quality, in eighths; 0 means 8. The capacity
	// for ranges that the target gets counts in proportion to it; it moves none away.
	Weight int
}

// capacities returns the capacity of each candidate relative to the others. A
// candidate of unknown capacity gets the mean capacity per slot of the others. If
// none is known, capacities are the numbers of slots.
func capacities(candidates []Candidate) []float64 {
	rate, slots := 0.0, 0
	for _, c := range candidates {
		if c.Capacity > 0 {
			rate += c.Capacity
			slots += max(c.Slots, 1)
		}
	}
	perSlot := 1.0
	if slots > 0 {
		perSlot = rate / float64(slots)
	}
	out := make([]float64, len(candidates))
	for i, c := range candidates {
		out[i] = c.Capacity
		if c.Capacity <= 0 {
			out[i] = perSlot * float64(max(c.Slots, 1))
		}
	}
	return out
}

// Config configures Assign and Rebalance.
type Config struct {
	// InitialRangesPerHolder is the number of ranges per candidate that a new key
	// space is split into. MinInitialRanges and MaxInitialRanges bound their total
	// number. More ranges distribute busy neighbours better, but each takes space
	// in every grant.
	InitialRangesPerHolder, MinInitialRanges, MaxInitialRanges int
	// ImbalanceThreshold is the ratio of a holder's load to the load in proportion
	// to its capacity, from which ranges move. A lower value balances better and
	// moves more.
	ImbalanceThreshold float64
	// MinUtilization is the fraction of a holder's slots in use from which its
	// ranges move because of its load. Below it, a move delays the requests on the
	// moving keys more than the imbalance does.
	MinUtilization float64
	// MaxMoves bounds the ranges that one call of Rebalance moves. A moving range
	// is not served until its next holder announces itself.
	MaxMoves int
	// MaxRanges bounds the ranges of one holder, because one grant contains them
	// all. Ranges above it stay without a holder.
	MaxRanges int
}

// DefaultConfig returns the default configuration. It suits key spaces of 1 to 40
// holders. A grant of 4 KiB has space for 140 ranges of 26 bytes, so that one
// holder can have all ranges of a small key space.
func DefaultConfig() Config {
	return Config{InitialRangesPerHolder: 8, MinInitialRanges: 128, MaxInitialRanges: 512, ImbalanceThreshold: 1.2, MinUtilization: 0.6, MaxMoves: 3, MaxRanges: 140}
}

// RequestConfig returns the default configuration for targets that get each range by
// a call of its own, which is renewed several times in each lease: there are fewer
// ranges than with DefaultConfig. A move takes a few calls, so more of them are made
// at once.
func RequestConfig() Config {
	return Config{InitialRangesPerHolder: 4, MinInitialRanges: 16, MaxInitialRanges: 512, ImbalanceThreshold: 1.15, MinUtilization: 0.5, MaxMoves: 6, MaxRanges: 64}
}

// Assign assigns the ranges without a holder to the candidates with the least load
// relative to their capacity. A newly assigned range has fence zero, so that
// fleet.State allocates one, and keeps its handover token. A new key space is split
// first. If there are more ranges than the candidates may hold, adjacent ones
// without a holder are merged, and differing tokens of merged ranges are dropped.
// Ranges above MaxRanges for each candidate stay without a holder. Assign returns
// the new ranges and whether anything changed.
func Assign(ranges []Range, candidates []Candidate, load *Load, cfg Config) ([]Range, bool) {
	if len(candidates) == 0 || !slices.ContainsFunc(ranges, func(r Range) bool { return r.Holder.IsZero() }) {
		return ranges, false
	}
	ranges = cutInitialRanges(slices.Clone(ranges), len(candidates), cfg)
	if len(ranges) > cfg.MaxRanges*len(candidates) {
		ranges = mergeUnassigned(ranges)
	}
	weights := load.weights()
	loads := newHolderLoads(ranges, candidates, weights)
	var unassigned []int
	for i, r := range ranges {
		if r.Holder.IsZero() {
			unassigned = append(unassigned, i)
		}
	}
	// Ranges with a high load come first: those with a low load then even out what
	// remains.
	slices.SortStableFunc(unassigned, func(i, j int) int { return cmp.Compare(weights.ofRange(ranges[j]), weights.ofRange(ranges[i])) })
	changed := false
	for _, i := range unassigned {
		to := loads.leastLoaded(cfg.MaxRanges)
		if to < 0 {
			break
		}
		ranges[i].Holder, ranges[i].Fence, ranges[i].Releasing = candidates[to].Holder, 0, false
		loads.add(to, weights.ofRange(ranges[i]))
		changed = true
	}
	return ranges, changed
}

// cutInitialRanges splits a key space that never had a holder into equal ranges.
func cutInitialRanges(ranges []Range, candidates int, cfg Config) []Range {
	if len(ranges) != 1 || ranges[0].Fence != 0 || !ranges[0].Holder.IsZero() {
		return ranges
	}
	n := min(max(cfg.InitialRangesPerHolder*candidates, cfg.MinInitialRanges), cfg.MaxInitialRanges)
	out := make([]Range, 0, n)
	for i := range n {
		from := i * NumBuckets / n * bucketKeys
		to := (i+1)*NumBuckets/n*bucketKeys - 1
		out = append(out, Range{From: uint16(from), To: uint16(to)})
	}
	return out
}

// RequestRelease requests the release of all ranges of the holders for which
// mustRelease is true. It returns the new ranges and whether anything changed.
func RequestRelease(ranges []Range, mustRelease func(Holder) bool) ([]Range, bool) {
	changed := false
	for i, r := range ranges {
		if r.Holder.IsZero() || r.Releasing || !mustRelease(r.Holder) {
			continue
		}
		if !changed {
			ranges, changed = slices.Clone(ranges), true
		}
		ranges[i].Releasing = true
	}
	return ranges, changed
}

// ReclaimLost removes the holder of all ranges whose holder is lost, that is, has
// certainly stopped serving them. It returns the new ranges and whether anything
// changed.
func ReclaimLost(ranges []Range, isLost func(Holder) bool) ([]Range, bool) {
	changed := false
	for i, r := range ranges {
		if r.Holder.IsZero() || !isLost(r.Holder) {
			continue
		}
		if !changed {
			ranges, changed = slices.Clone(ranges), true
		}
		ranges[i].Holder, ranges[i].Releasing, ranges[i].HandoverToken = Holder{}, false, ""
	}
	return ranges, changed
}

// Release removes the holder of a range that this holder has released, and stores
// its handover token. It changes nothing unless the release of exactly this range,
// at this fence, was requested. It returns the new ranges and whether they changed.
func Release(ranges []Range, released Range, handoverToken string) ([]Range, bool) {
	i := indexOfGrant(ranges, released)
	if i < 0 || !ranges[i].Releasing {
		return ranges, false
	}
	ranges = slices.Clone(ranges)
	ranges[i].Holder, ranges[i].Releasing, ranges[i].HandoverToken = Holder{}, false, handoverToken
	return ranges, true
}

// Refuse requests the release of a range that its holder does not accept at its
// fence. The next holder gets a higher one. The token is ignored, and nothing changes
// unless exactly this range is assigned at this fence. Refuse returns the new ranges
// and whether they changed.
func Refuse(ranges []Range, refused Range, _ string) ([]Range, bool) {
	i := indexOfGrant(ranges, refused)
	if i < 0 || ranges[i].Releasing {
		return ranges, false
	}
	ranges = slices.Clone(ranges)
	ranges[i].Releasing = true
	return ranges, true
}

// indexOfGrant returns the index of the range with the same keys, fence and holder as
// granted, or -1 if there is none.
func indexOfGrant(ranges []Range, granted Range) int {
	return slices.IndexFunc(ranges, func(r Range) bool {
		return r.From == granted.From && r.To == granted.To && r.Fence == granted.Fence && r.Holder == granted.Holder
	})
}

// maySplit reports whether a key space may get another range. The bound is what one
// holder may have, or a quarter more than InitialRangesPerHolder for each holder if
// that is more: few holders can still hold all ranges when the others are lost.
func (cfg Config) maySplit(numRanges, holders int) bool {
	return numRanges < max(cfg.MaxRanges, cfg.InitialRangesPerHolder*holders*5/4)
}

// Rebalance requests the release of ranges of the most loaded holders that less
// loaded ones have capacity for; Assign assigns them once they are released. It
// splits ranges where needed. It does nothing while a range has no holder or is
// being released, that is, while earlier moves are in progress. It returns the new
// ranges and whether anything changed.
func Rebalance(ranges []Range, candidates []Candidate, load *Load, cfg Config) ([]Range, bool) {
	if len(candidates) < 2 || slices.ContainsFunc(ranges, func(r Range) bool { return r.Releasing || r.Holder.IsZero() }) {
		return ranges, false
	}
	weights := load.weights()
	loads := newHolderLoads(ranges, candidates, weights)
	out, changed := slices.Clone(ranges), false
	if !cfg.maySplit(len(out)+cfg.MaxMoves, len(candidates)) {
		out = mergeSplit(out)
	}
	for range cfg.MaxMoves {
		from, to := loads.mostLoaded(), loads.leastLoaded(cfg.MaxRanges)
		if to < 0 {
			break
		}
		overloaded := candidates[from].Utilization >= cfg.MinUtilization && loads.load[from] >= cfg.ImbalanceThreshold*loads.retainedFraction[from]
		empty := loads.load[to] < emptyFraction*loads.capacityFraction[to]
		if !overloaded && !empty {
			break
		}
		movable := min(loads.load[from]-loads.retainedFraction[from], loads.capacityFraction[to]-loads.load[to])
		i, cut, moved := pickRange(out, candidates[from].Holder, movable, weights, cfg.maySplit(len(out), len(candidates)))
		if i < 0 {
			break
		}
		if cut > 0 {
			out = split(out, i, cut)
		}
		out[i].Releasing, changed = true, true
		loads.load[from] -= moved
		loads.add(to, moved)
	}
	if !changed {
		return ranges, false
	}
	return out, true
}

// emptyFraction is the ratio of a holder's load to the load in proportion to its
// capacity, below which the holder counts as empty, for instance a new one.
const emptyFraction = 0.2

// minMovedLoad is the least fraction of the total load that is worth a move.
const minMovedLoad = 0.005

// pickRange returns the index of the range of a holder to move: the one whose load
// is nearest to maxLoad without exceeding it. If maySplit is set, it may also be
// the first part of a range; cut is then the first key after that part, and
// otherwise zero. moved is the load that moves. The index is -1 if there is none.
func pickRange(ranges []Range, h Holder, maxLoad float64, weights *Load, maySplit bool) (index int, cut uint16, moved float64) {
	index = -1
	for i, r := range ranges {
		if r.Holder != h || r.Releasing {
			continue
		}
		sum := 0.0
		for b := Bucket(r.From); b <= Bucket(r.To); b++ {
			sum += weights[b]
			if sum > maxLoad {
				break
			}
			whole := b == Bucket(r.To)
			if sum > moved && sum >= minMovedLoad && (maySplit || whole) {
				index, moved, cut = i, sum, 0
				if !whole {
					cut = uint16((b + 1) * bucketKeys)
				}
			}
		}
	}
	return index, cut, moved
}
