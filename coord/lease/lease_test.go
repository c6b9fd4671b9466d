package lease_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/lease"
)

// drawRate returns a clock rate. Two clocks differ by at most 1.98%, which is
// just below the drift bound of 20 ms over a lease of 1,000 ms.
func drawRate(t *rapid.T, name string) float64 {
	return 0.9901 + 0.0198*rapid.Float64Range(0, 1).Draw(t, name)
}

// Guards against a loss declared while the holder's lease runs: too short a
// wait, no drift bound, a wall clock step at the tracker, a machine that is
// frozen with its monotonic clock, or a lease counted from the answer.
func TestHolderEndsBeforeTracker(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := lease.Default()
		holder, tracker := lease.NewHolder(cfg), lease.NewTracker(cfg)
		holderRate, trackerRate := drawRate(t, "holder"), drawRate(t, "tracker")
		delay := time.Duration(rapid.IntRange(0, 2_000).Draw(t, "delay")) * time.Millisecond / 2
		back := time.Duration(rapid.IntRange(0, 1_000).Draw(t, "answer")) * time.Millisecond
		frozen := time.Duration(rapid.IntRange(0, 1_500).Draw(t, "frozen")) * time.Millisecond
		step := time.Duration(rapid.IntRange(0, 1_500).Draw(t, "step")) * time.Millisecond
		at := func(d time.Duration, rate float64) clock.Reading { return clock.At(time.Duration(float64(d) * rate)) }

		seq := holder.Sent(at(0, holderRate))
		tracker.Renewed("m", at(delay, trackerRate))
		holder.Granted(seq, at(delay+back, holderRate))
		end := delay + time.Duration(rapid.IntRange(0, 2_500).Draw(t, "end"))*time.Millisecond
		local := at(end, holderRate)
		local.Mono -= min(frozen, max(local.Mono-time.Duration(float64(delay+back)*holderRate), 0))
		leader := at(end, trackerRate)
		leader.Wall += step
		if end >= delay+back && holder.Valid(local) && tracker.Expired("m", true, leader) {
			t.Fatalf("at %v the lease is valid at the holder and expired at the tracker", end)
		}
	})
}

// Guards against a tracker that omits the drift bound: the fastest tracker and
// the slowest holder that the bound allows.
func TestDriftBound(t *testing.T) {
	is := is.New(t)
	cfg := lease.Default()
	holder, tracker := lease.NewHolder(cfg), lease.NewTracker(cfg)
	seq := holder.Sent(clock.At(0))
	tracker.Renewed("m", clock.At(0))
	is.True(holder.Granted(seq, clock.At(0)))
	is.True(holder.Valid(clock.At(cfg.Duration - 1)))
	is.True(!tracker.Expired("m", true, clock.At(cfg.Duration-1+cfg.Drift)))
	is.True(tracker.Expired("m", true, clock.At(cfg.Duration+1+cfg.Drift)))
	is.True(!tracker.Expired("m", false, clock.At(cfg.Duration+cfg.Drift+cfg.Grace)))
	is.Equal(tracker.Remaining("m", false, clock.At(cfg.Duration)), cfg.Drift+cfg.Grace)
	is.Equal(tracker.Remaining("m", false, clock.At(2*cfg.Duration)), time.Duration(0))
	tracker.Reset(clock.At(time.Hour))
	is.True(!tracker.Expired("m", true, clock.At(time.Hour+cfg.Duration)))
}
