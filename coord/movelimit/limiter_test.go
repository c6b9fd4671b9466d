package movelimit

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

func unit(i int) shard.Unit { return shard.Unit{Keyspace: "s", Shard: uint32(i)} }

// countStarts tries to start a move to one receiver every 10 ms during period and
// returns how many started. Each move completes after takes.
func countStarts(l *Limiter, ramp float64, period, takes time.Duration) int {
	n := 0
	moving := map[shard.Unit]table.MemberID{}
	ends := map[shard.Unit]time.Duration{}
	for t := time.Duration(0); t < period; t += 10 * time.Millisecond {
		for u, end := range ends {
			if t >= end {
				delete(moving, u)
				delete(ends, u)
			}
		}
		l.SetInProgress(moving)
		if l.TryStart(clock.At(t), unit(n), "m", ramp) {
			moving[unit(n)], ends[unit(n)] = "m", t+takes
			n++
		}
	}
	return n
}

// Guards against a receiver that gets more moves than its limits or its ramp allow,
// and against a receiver that gets too few or none.
func TestReceiverRate(t *testing.T) {
	is := is.New(t)
	cfg := Default()
	full := countStarts(New(cfg), 1, 10*time.Second, 20*time.Millisecond)
	is.True(full <= int(10*cfg.StartsPerSecondPerReceiver)+2 && full >= int(9*cfg.StartsPerSecondPerReceiver))
	tenth := countStarts(New(cfg), 0.1, 10*time.Second, 20*time.Millisecond)
	is.True(tenth <= int(cfg.StartsPerSecondPerReceiver)+1 && tenth >= 6)
	slow := countStarts(New(cfg), 1, 10*time.Second, 2*time.Second)
	is.True(slow <= 5*cfg.MaxInProgressPerReceiver)
}

// Guards against more moves in progress or started per second than the limits over
// all receivers allow.
func TestTotalLimits(t *testing.T) {
	for _, c := range []struct {
		maxInProgress int
		perSecond     float64
	}{{10, 1_000}, {1_000, 40}} {
		is := is.New(t)
		cfg := Default()
		cfg.MaxInProgress, cfg.StartsPerSecond = c.maxInProgress, c.perSecond
		l := New(cfg)
		n := 0
		for i := range 100 {
			if l.TryStart(clock.At(0), unit(i), table.MemberID(fmt.Sprint(i)), 1) {
				n++
			}
		}
		is.Equal(n, 10) // MaxInProgress, or the starts of a burst of 250 ms
		is.Equal(l.InProgress(), 10)
		l.SetInProgress(nil)
		is.Equal(l.InProgress(), 0)
		is.True(l.TryStart(clock.At(time.Second), unit(1000), "other", 1))
		is.True(!l.TryStart(clock.At(2*time.Second), unit(1000), "third", 1)) // it is already moving
	}
}
