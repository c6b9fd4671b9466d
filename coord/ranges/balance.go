package ranges

// balance compares what candidates hold with their shares.
type balance struct {
	have, share []float64 // of the load
	rows        []int
}

func (b *balance) add(i int, load float64) {
	b.have[i] += load
	b.rows[i]++
}

func newBalance(rows []Range, candidates []Candidate, w *Load) *balance {
	n := len(candidates)
	b := &balance{have: make([]float64, n), share: make([]float64, n), rows: make([]int, n)}
	sum := 0.0
	capacity := capacities(candidates)
	for _, c := range capacity {
		sum += c
	}
	at := map[Holder]int{}
	for i, c := range candidates {
		b.share[i] = capacity[i] / sum
		at[c.Holder] = i
	}
	for _, r := range rows {
		if i, ok := at[r.Holder]; ok && !r.Releasing {
			b.add(i, w.of(r))
		}
	}
	return b
}

// lightest returns the holder furthest below its share among those with fewer
// than maxRows rows, -1 if there is none.
func (b *balance) lightest(maxRows int) int {
	best := -1
	for i := range b.have {
		if b.rows[i] < maxRows && (best < 0 || b.have[i]/b.share[i] < b.have[best]/b.share[best]) {
			best = i
		}
	}
	return best
}

func (b *balance) heaviest() int {
	best := 0
	for i := range b.have {
		if b.have[i]/b.share[i] > b.have[best]/b.share[best] {
			best = i
		}
	}
	return best
}
