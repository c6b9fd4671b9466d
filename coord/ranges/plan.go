package ranges

import (
	"cmp"
	"slices"
)

// Candidate is a holder that takes part in the division of a key space.
type Candidate struct {
	Holder Holder
	// Slots is the number of requests that it runs at once.
	Slots int
	// Capacity is the rate that it could serve, per second; zero if unknown.
	Capacity float64
	// Utilization is the share of its slots that is in use.
	Utilization float64
}

// capacities returns what each candidate can serve relative to the others.
// Those that were not measured count like the mean of the others, by slots.
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

// Config tunes Plan.
type Config struct {
	// InitialRangesPerHolder is the number of rows that a key space without rows is cut into
	// per candidate, within MinInitialRanges and MaxInitialRanges in all. More stripes
	// spread busy neighbours better; each takes room in every grant.
	InitialRangesPerHolder, MinInitialRanges, MaxInitialRanges int
	// ImbalanceThreshold is the load of a holder relative to its share from which rows
	// move. A lower value balances better and moves more.
	ImbalanceThreshold float64
	// MinUtilization is the share of a holder's slots in use from which its load matters:
	// a move costs the requests on its keys more than an imbalance among idle
	// targets does.
	MinUtilization float64
	// MaxMoves bounds the rows that move for balance at once. A moving row is
	// not served until its next holder announces itself.
	MaxMoves int
	// MaxRanges bounds the rows of one holder: one grant names them all. Rows
	// beyond it stay without a holder.
	MaxRanges int
}

// DefaultConfig suits key spaces of 1 to 40 holders. A grant of 4 KiB has room
// for 140 rows of 26 bytes, so that one holder can have all rows of a small
// key space.
func DefaultConfig() Config {
	return Config{InitialRangesPerHolder: 8, MinInitialRanges: 128, MaxInitialRanges: 512, ImbalanceThreshold: 1.2, MinUtilization: 0.6, MaxMoves: 3, MaxRanges: 140}
}

// Assign gives rows without a holder to the candidates that are furthest below
// their share. It returns the new rows and whether anything changed.
func Assign(rows []Range, candidates []Candidate, load *Load, cfg Config) ([]Range, bool) {
	if len(candidates) == 0 || !slices.ContainsFunc(rows, func(r Range) bool { return r.Holder.IsZero() }) {
		return rows, false
	}
	rows = stripe(slices.Clone(rows), len(candidates), cfg)
	if len(rows) > cfg.MaxRanges*len(candidates) {
		rows = joinFree(rows)
	}
	w := load.weights()
	b := newBalance(rows, candidates, w)
	var free []int
	for i, r := range rows {
		if r.Holder.IsZero() {
			free = append(free, i)
		}
	}
	// Heavy rows first: light ones fill the gaps that they leave.
	slices.SortStableFunc(free, func(i, j int) int { return cmp.Compare(w.of(rows[j]), w.of(rows[i])) })
	changed := false
	for _, i := range free {
		to := b.lightest(cfg.MaxRanges)
		if to < 0 {
			break
		}
		rows[i].Holder, rows[i].Fence, rows[i].Releasing = candidates[to].Holder, 0, false
		b.add(to, w.of(rows[i]))
		changed = true
	}
	return rows, changed
}

// stripe cuts a key space that nobody ever held.
func stripe(rows []Range, candidates int, cfg Config) []Range {
	if len(rows) != 1 || rows[0].Fence != 0 || !rows[0].Holder.IsZero() {
		return rows
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

// RequestRelease asks the holders that leaves reports to give all their rows back.
func RequestRelease(rows []Range, leaves func(Holder) bool) ([]Range, bool) {
	changed := false
	for i, r := range rows {
		if r.Holder.IsZero() || r.Releasing || !leaves(r.Holder) {
			continue
		}
		if !changed {
			rows, changed = slices.Clone(rows), true
		}
		rows[i].Releasing = true
	}
	return rows, changed
}

// ReclaimLost takes rows from holders that are known to hold nothing any more.
func ReclaimLost(rows []Range, gone func(Holder) bool) ([]Range, bool) {
	changed := false
	for i, r := range rows {
		if r.Holder.IsZero() || !gone(r.Holder) {
			continue
		}
		if !changed {
			rows, changed = slices.Clone(rows), true
		}
		rows[i].Holder, rows[i].Releasing, rows[i].HandoverToken = Holder{}, false, ""
	}
	return rows, changed
}

// Release frees one row that its holder has given back.
func Release(rows []Range, from Range, handover string) ([]Range, bool) {
	for i, r := range rows {
		if r.From == from.From && r.To == from.To && r.Fence == from.Fence && r.Holder == from.Holder && r.Releasing {
			rows = slices.Clone(rows)
			rows[i].Holder, rows[i].Releasing, rows[i].HandoverToken = Holder{}, false, handover
			return rows, true
		}
	}
	return rows, false
}

// maySplit reports whether a key space may get another row. Few holders must be
// able to hold all rows, since the others may be lost.
func (cfg Config) maySplit(rows, holders int) bool {
	return rows < max(cfg.MaxRanges, cfg.InitialRangesPerHolder*holders*5/4)
}

// Rebalance asks the most loaded holders to give back what others have room
// for. It does nothing while earlier moves are under way.
func Rebalance(rows []Range, candidates []Candidate, load *Load, cfg Config) ([]Range, bool) {
	if len(candidates) < 2 || slices.ContainsFunc(rows, func(r Range) bool { return r.Releasing || r.Holder.IsZero() }) {
		return rows, false
	}
	w := load.weights()
	b := newBalance(rows, candidates, w)
	out, changed := slices.Clone(rows), false
	if !cfg.maySplit(len(out)+cfg.MaxMoves, len(candidates)) {
		out = joinHeld(out)
	}
	for range cfg.MaxMoves {
		from, to := b.heaviest(), b.lightest(cfg.MaxRanges)
		if to < 0 {
			break
		}
		overloaded := candidates[from].Utilization >= cfg.MinUtilization && b.have[from] >= cfg.ImbalanceThreshold*b.share[from]
		empty := b.have[to] < emptyShare*b.share[to]
		if !overloaded && !empty {
			break
		}
		room := min(b.have[from]-b.share[from], b.share[to]-b.have[to])
		i, cut, moved := pick(out, candidates[from].Holder, room, w, cfg.maySplit(len(out), len(candidates)))
		if i < 0 {
			break
		}
		if cut > 0 {
			out = split(out, i, cut)
		}
		out[i].Releasing, changed = true, true
		b.have[from] -= moved
		b.add(to, moved)
	}
	if !changed {
		return rows, false
	}
	return out, true
}

// emptyShare is the part of its share below which a holder counts as empty,
// for instance a new one.
const emptyShare = 0.2

// minMove is the least share of the load that is worth a move.
const minMove = 0.005

// pick returns the row of a holder whose load, or the load of its first part
// up to cut if the row may be split, is nearest to room without exceeding it.
func pick(rows []Range, h Holder, room float64, w *Load, split bool) (index int, cut uint16, moved float64) {
	index = -1
	for i, r := range rows {
		if r.Holder != h || r.Releasing {
			continue
		}
		sum := 0.0
		for b := Bucket(r.From); b <= Bucket(r.To); b++ {
			sum += w[b]
			if sum > room {
				break
			}
			whole := b == Bucket(r.To)
			if sum > moved && sum >= minMove && (split || whole) {
				index, moved, cut = i, sum, 0
				if !whole {
					cut = uint16((b + 1) * bucketKeys)
				}
			}
		}
	}
	return index, cut, moved
}
