package hotkey_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/hotkey"
	"bramleyquay.example/coord/shard"
)

// zipfHashes returns the hashes of n keys, most frequent first, and a function
// that returns one of them with a Zipf distribution.
func zipfHashes(n uint64) (hashes []uint64, next func() uint64) {
	rng := rand.New(rand.NewPCG(1, 2))
	for i := range n {
		hashes = append(hashes, shard.Hash(string(rune('a'+i%26))+time.Duration(i).String()))
	}
	z := rand.NewZipf(rng, 1.1, 1, n-1)
	return hashes, func() uint64 { return hashes[z.Uint64()] }
}

// TestSketch guards against hot keys that are missed, wrong rates, and keys
// that still have a high rate after their load has ended.
func TestSketch(t *testing.T) {
	is := is.New(t)
	hashes, next := zipfHashes(1_000_000)
	s := hotkey.NewSketch(hotkey.SketchConfig{})
	exact := map[uint64]int{}
	now := clock.At(time.Hour)
	s.Tick(now)
	const seconds, rate = 30, 20_000
	for range seconds {
		for range rate {
			h := next()
			exact[h]++
			s.Observe(h)
		}
		now = now.Add(time.Second)
		s.Tick(now)
	}
	top := map[uint64]hotkey.Key{}
	for _, k := range s.Top(128) {
		top[k.Hash] = k
	}
	// The stated workload has 93 hot keys.
	for rank, h := range hashes[:93] {
		k, ok := top[h]
		want := float64(exact[h]) / seconds
		is.True(ok) // one of the hottest 93 keys is missing
		// Counts are random and the last seconds weigh more.
		tolerance := 5*math.Sqrt(want/seconds*2) + k.Error
		if math.Abs(k.Rate-want) > tolerance {
			t.Errorf("rank %d: rate %.1f, want %.1f within %.1f", rank, k.Rate, want, tolerance)
		}
	}
	for range 60 {
		now = now.Add(time.Second)
		s.Tick(now)
	}
	is.True(s.Top(1)[0].Rate < 0.02*top[hashes[0]].Rate)
}

// TestObserveDoesNotAllocate guards against allocations on the request path.
func TestObserveDoesNotAllocate(t *testing.T) {
	s := hotkey.NewSketch(hotkey.SketchConfig{})
	_, next := zipfHashes(1000)
	if n := testing.AllocsPerRun(1000, func() { s.Observe(next()) }); n != 0 {
		t.Errorf("%v allocations", n)
	}
}

func BenchmarkObserve(b *testing.B) {
	s := hotkey.NewSketch(hotkey.SketchConfig{})
	_, next := zipfHashes(1_000_000)
	sample := make([]uint64, 1<<16)
	for i := range sample {
		sample[i] = next()
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		s.Observe(sample[i&(1<<16-1)])
		i++
	}
}
