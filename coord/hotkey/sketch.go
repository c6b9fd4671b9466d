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
	// Counters is the number of counters, each for one key, rounded up to a power
	// of two, at least 16; 0 selects DefaultCounters. More counters lower the
	// error of a key's rate and use 24 bytes each.
	Counters int
	// HalfLife is the time after which an observation has half its weight; 0
	// selects DefaultHalfLife. A shorter one follows changes sooner and makes
	// rates noisier.
	HalfLife time.Duration
}

// Default values of SketchConfig.
const (
	DefaultCounters = 2048
	DefaultHalfLife = 10 * time.Second
)

// countersPerSet is the number of counters that a key may be in. They fill three
// cache lines, so that Observe reads little memory.
const countersPerSet = 8

// Key is a frequently requested key.
type Key struct {
	Hash uint64
	// Rate is in requests per second. It is too high by at most Error, and never
	// too low. Keys that have lost their counter are not reported.
	Rate  float64
	Error float64
}

type counter struct {
	hash  uint64
	count float64
	// inherited is the part of count that remains of the counter's previous keys: its
	// count when the present key took it over, decayed since.
	inherited float64
}

// Sketch counts keys with the space-saving algorithm (Metwally, Agrawal, El
// Abbadi), applied within sets of eight counters: a key that has no counter takes
// over the smallest one of its set, including its count. A key keeps its counter
// until another key takes it over. Counts decay exponentially.
type Sketch struct {
	counters     []counter
	shift        uint
	timeConstant float64 // seconds
	observed     float64 // seconds of observation, decayed like the counts
	lastTick     clock.Reading
}

// NewSketch returns an empty sketch.
func NewSketch(cfg SketchConfig) *Sketch {
	if cfg.Counters <= 0 {
		cfg.Counters = DefaultCounters
	}
	if cfg.HalfLife <= 0 {
		cfg.HalfLife = DefaultHalfLife
	}
	sets := max((cfg.Counters+countersPerSet-1)/countersPerSet, 2)
	power := uint(bits.Len(uint(sets - 1)))
	return &Sketch{
		counters:     make([]counter, countersPerSet<<power),
		shift:        64 - power,
		timeConstant: cfg.HalfLife.Seconds() / math.Ln2,
	}
}

// Observe counts one request for a key. It does not allocate.
func (s *Sketch) Observe(hash uint64) {
	// Shards are ranges of the hash, so that the high bits are nearly equal for
	// the keys of one shard; the multiplication spreads the keys over the sets.
	base := (hash * 0x9E3779B97F4A7C15 >> s.shift) * countersPerSet
	set := s.counters[base : base+countersPerSet : base+countersPerSet]
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
	entry := &set[least]
	entry.hash, entry.inherited, entry.count = hash, entry.count, entry.count+1
}

// Tick decays the counts by the time since the last call; the first call only
// starts the time. Call it right before Top: requests counted since the last
// call make the rates of Top too high.
func (s *Sketch) Tick(now clock.Reading) {
	if s.lastTick.IsZero() {
		s.lastTick = now
		return
	}
	dt := now.MonoSince(s.lastTick).Seconds()
	if dt <= 0 {
		return
	}
	s.lastTick = now
	decay := math.Exp(-dt / s.timeConstant)
	// The observations since the last call decay by the full step as well,
	// and so does the time that they are divided by.
	s.observed = (s.observed + dt) * decay
	for i := range s.counters {
		s.counters[i].count *= decay
		s.counters[i].inherited *= decay
	}
}

// Top returns up to n keys with the highest rates, highest first; nil before
// the second call of Tick.
func (s *Sketch) Top(n int) []Key {
	if s.observed == 0 {
		return nil
	}
	keys := make([]Key, 0, len(s.counters))
	for _, entry := range s.counters {
		if entry.count > 0 {
			keys = append(keys, Key{Hash: entry.hash, Rate: entry.count / s.observed, Error: entry.inherited / s.observed})
		}
	}
	slices.SortFunc(keys, func(a, b Key) int {
		return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Hash, b.Hash))
	})
	return keys[:min(n, len(keys))]
}
