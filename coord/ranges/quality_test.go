package ranges_test

import (
	"math"
	"testing"

	"github.com/matryer/is"

	"bramleyquay.example/coord/ranges"
)

// slowTargetRun returns the requests above the capacity of their target, or on keys that
// move, in 20 s in which the first of six targets is five times slower from 5 s to
// 11.5 s, and the numbers of ranges that move until the target has recovered and later.
// A move takes a second, also if it changes nothing.
func slowTargetRun(load float64, mayMove bool, cfg ranges.Config) (lost float64, moves, movesAfter int) {
	const step, slots, serviceTime = 0.1, 8, 0.06 // s, requests, s
	cands := candidates("a", "b", "c", "d", "e", "f")
	var rates ranges.Load
	for i := range rates {
		rates[i] = load * slots / serviceTime * float64(len(cands)) / ranges.NumBuckets
	}
	mean, utilization := make([]float64, len(cands)), make([]float64, len(cands))
	for i := range cands {
		mean[i], utilization[i], cands[i].Slots = serviceTime, load, slots
	}
	keyRanges, _ := ranges.Assign(ranges.UnassignedKeyspace(), cands, &rates, cfg)
	for n := range 200 {
		at := float64(n) * step
		byTarget := loadByTarget(keyRanges, &rates)
		for i := range cands {
			actual, arrivals := serviceTime, byTarget[cands[i].Holder.Target]
			if at >= 5 && at < 11.5 && i == 0 {
				actual *= 5
			}
			lost += max(0, arrivals-slots/actual) * step
			// The averages that dispatch.Queue reports.
			utilization[i] += (1 - math.Exp(-step/2)) * (min(1, arrivals/slots*actual) - utilization[i])
			mean[i] += (1 - math.Pow(0.97, min(arrivals, slots/actual)*step)) * (actual - mean[i])
			cands[i].Capacity, cands[i].Utilization = slots/mean[i], utilization[i]
		}
		if n%10 == 0 && mayMove {
			keyRanges = completeMoves(keyRanges, cands, &rates, cfg)
			keyRanges, _ = ranges.Rebalance(keyRanges, cands, &rates, cfg)
		}
		for _, r := range keyRanges {
			if !r.Releasing {
				continue
			}
			lost += rates[0] * float64(int(r.To)-int(r.From)+1) / 64 * step // 64 keys are one load bucket
			if n%10 == 0 && at < 12 {
				moves++
			} else if n%10 == 0 {
				movesAfter++
			}
		}
	}
	return lost, moves, movesAfter
}

// TestSlowTarget guards against ranges that stay at a target that turns five times
// slower for some seconds, and against moves to and fro.
func TestSlowTarget(t *testing.T) {
	is := is.New(t)
	for _, cfg := range []ranges.Config{ranges.DefaultConfig(), ranges.RequestConfig()} {
		for _, load := range []float64{0.3, 0.5, 0.7} {
			fixed, _, _ := slowTargetRun(load, false, cfg)
			lost, moves, after := slowTargetRun(load, true, cfg)
			t.Logf("%d moves at once, load %.1f: lost %.0f without moves, %.0f with %d moves and %d after", cfg.MaxMoves, load, fixed, lost, moves, after)
			is.True(lost < 0.8*fixed)
			is.True(moves+after <= 7*cfg.MaxMoves) // MaxMoves a second while it is slow
			is.True(after <= cfg.MaxMoves)
		}
	}
}

// TestWeightOfHolder guards against as many ranges for a bad target as for others, and
// against moves off it or to it because of its weight.
func TestWeightOfHolder(t *testing.T) {
	is := is.New(t)
	for _, cfg := range []ranges.Config{ranges.DefaultConfig(), ranges.RequestConfig()} {
		cands := candidates("a", "b", "c")
		even, _ := ranges.Assign(ranges.UnassignedKeyspace(), cands, &ranges.Load{}, cfg)
		cands[0].Weight = 1
		for _, keyRanges := range [][]ranges.Range{even, assignAll(cands, cfg)} {
			_, changed := ranges.Rebalance(keyRanges, cands, &ranges.Load{}, cfg)
			is.True(!changed)
		}
		keys := map[string]int{}
		for _, r := range assignAll(cands, cfg) {
			keys[r.Holder.Target] += int(r.To) - int(r.From) + 1
		}
		is.True(keys["a"] > 0 && keys["a"] < keys["b"]/4)
	}
}

func assignAll(cands []ranges.Candidate, cfg ranges.Config) []ranges.Range {
	out, _ := ranges.Assign(ranges.UnassignedKeyspace(), cands, &ranges.Load{}, cfg)
	return out
}
