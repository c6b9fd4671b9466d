package hotkey

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"time"

	"bramleyquay.example/coord/clock"
)

// SketchConfig configures a Sketch.
type SketchConfig struct {
	// Counters is the number of keys that are counted, rounded up to a power of
	// two. More slots lower the error of a key's rate and cost 24 bytes each.
	Counters int
	// HalfLife is the time after which an observation counts half. A shorter
	// one follows changes sooner and makes rates noisier.
	HalfLife time.Duration
}

// Default values of SketchConfig.
const (
	DefaultSlots    = 2048
	DefaultHalfLife = 10 * time.Second
)

// ways is the number of slots that a key may be in. They fill three cache
// lines, which keeps Observe short.
const ways = 8

// Key is a frequently requested key.
type Key struct {
	Hash uint64
	// Rate is in requests per second. It is at most Error too high, and never
	// too low while the key stays in the sketch.
	Rate  float64
	Error float64
}

type slot struct {
	hash  uint64
	count float64
	// extra is the count that the slot had when the key took it over.
	extra float64
}

// Sketch counts keys with the space-saving algorithm (Metwally, Agrawal, El
// Abbadi), applied within sets of eight slots: a key that is not counted takes
// over the set's smallest slot and its count. Counts decay exponentially.
type Sketch struct {
	slots  []slot
	shift  uint
	life   float64 // seconds
	weight float64 // decayed seconds of observation
	last   clock.Reading
}

// NewSketch returns an empty sketch.
func NewSketch(cfg SketchConfig) *Sketch {
	if cfg.Counters <= 0 {
		cfg.Counters = DefaultSlots
	}
	if cfg.HalfLife <= 0 {
		cfg.HalfLife = DefaultHalfLife
	}
	sets := max((cfg.Counters+ways-1)/ways, 2)
	power := uint(bits.Len(uint(sets - 1)))
	return &Sketch{
		slots: make([]slot, ways<<power),
		shift: 64 - power,
		life:  cfg.HalfLife.Seconds() / math.Ln2,
	}
}

// Observe counts one request for a key. It does not allocate.
func (s *Sketch) Observe(hash uint64) {
	// Shards are ranges of the hash, so its high bits are nearly equal at one
	// member; the multiplication spreads them over the sets.
	base := (hash * 0x9E3779B97F4A7C15 >> s.shift) * ways
	set := s.slots[base : base+ways : base+ways]
	least := 0
	for i := range set {
		if set[i].hash == hash {
			set[i].count++
			return
		}
		if set[i].count < set[least].count {
			least = i
		}
	}
	c := &set[least]
	c.hash, c.extra, c.count = hash, c.count, c.count+1
}

// Tick applies the decay up to now. Call it about once a second; rates are
// averages up to the last call.
func (s *Sketch) Tick(now clock.Reading) {
	if s.last.IsZero() {
		s.last = now
		return
	}
	dt := now.MonoSince(s.last).Seconds()
	if dt <= 0 {
		return
	}
	s.last = now
	keep := math.Exp(-dt / s.life)
	// The observations since the last call decay by the full step as well,
	// and so does the time that they are divided by.
	s.weight = (s.weight + dt) * keep
	for i := range s.slots {
		s.slots[i].count *= keep
		s.slots[i].extra *= keep
	}
}

// Top returns up to n keys with the highest rates, highest first.
func (s *Sketch) Top(n int) []Key {
	if s.weight == 0 {
		return nil
	}
	keys := make([]Key, 0, len(s.slots))
	for _, c := range s.slots {
		if c.count > 0 {
			keys = append(keys, Key{Hash: c.hash, Rate: c.count / s.weight, Error: c.extra / s.weight})
		}
	}
	slices.SortFunc(keys, func(a, b Key) int {
		return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Hash, b.Hash))
	})
	return keys[:min(n, len(keys))]
}
