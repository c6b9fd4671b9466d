package membudget_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"bramleyquay.example/coord/membudget"
)

// Guards against holders that exceed the budget together, and against greedy holders
// that leave no room to small ones.
func TestGreedyHoldersLeaveTheReserve(t *testing.T) {
	cfg := membudget.DefaultConfig(4 << 20)
	rapid.Check(t, func(t *rapid.T) {
		b := membudget.New(cfg)
		held := make([]int64, rapid.IntRange(1, 60).Draw(t, "holders"))
		sum := func(atLeast int64) (s int64) {
			for _, h := range held {
				if h >= atLeast {
					s += h
				}
			}
			return s
		}
		for range 300 {
			i := rapid.IntRange(0, len(held)-1).Draw(t, "holder")
			if n := int64(rapid.IntRange(1, 1<<18).Draw(t, "bytes")); b.Grow(held[i], n) {
				held[i] += n
				if held[i] > cfg.Small && (held[i] > (cfg.Total-cfg.Reserve)/2 || b.Used() > cfg.Total-cfg.Reserve) {
					t.Fatalf("a holder got %d with %d used", held[i], b.Used())
				}
			} else if rapid.IntRange(0, 9).Draw(t, "ends") == 0 {
				b.Shrink(held[i])
				held[i] = 0
			}
			if b.Used() != sum(0) || b.Used() > cfg.Total {
				t.Fatalf("used %d, held %d, of %d", b.Used(), sum(0), cfg.Total)
			}
			small := b.Used() - sum(cfg.Small+1)
			if small+cfg.Small > cfg.Reserve {
				continue
			}
			if !b.Grow(0, cfg.Small) {
				t.Fatalf("no room for a small holder: used %d, small ones %d", b.Used(), small)
			}
			b.Shrink(cfg.Small)
		}
	})
}

// Guards against sizes from outside that overflow the arithmetic.
func TestImpossibleSizesAreRefused(t *testing.T) {
	is := is.New(t)
	b := membudget.New(membudget.DefaultConfig(100))
	is.True(!b.Grow(0, 1<<63-1))
	is.True(!b.Grow(1<<63-1, 1))
	is.True(!b.Grow(0, -1))
	is.True(!b.Grow(-1, 1))
	is.Equal(b.Used(), int64(0))
}
