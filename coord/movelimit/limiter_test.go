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

// started offers a move to one receiver every 10 ms, each finished after a
// while, and returns how many were started.
func started(p *Limiter, ramp float64, period, takes time.Duration) int {
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
		p.SetInProgress(moving)
		if p.TryStart(clock.At(t), unit(n), "m", ramp) {
			moving[unit(n)], ends[unit(n)] = "m", t+takes
			n++
		}
	}
	return n
}

// Guards against a receiver that gets more than its rate, or more than the
// part of it that its ramp allows, and against one that gets nothing at all.
func TestReceiverRate(t *testing.T) {
	is := is.New(t)
	cfg := Default()
	full := started(New(cfg), 1, 10*time.Second, 20*time.Millisecond)
	is.True(full <= int(10*cfg.ReceiverPerSecond)+2 && full >= int(9*cfg.ReceiverPerSecond))
	tenth := started(New(cfg), 0.1, 10*time.Second, 20*time.Millisecond)
	is.True(tenth <= int(cfg.ReceiverPerSecond)+1 && tenth >= 6)
	slow := started(New(cfg), 1, 10*time.Second, 2*time.Second)
	is.True(slow <= 5*cfg.ReceiverInFlight)
}

// Guards against more moves at once, or in a second, than the whole may have.
func TestTotals(t *testing.T) {
	for _, c := range []struct {
		inFlight  int
		perSecond float64
	}{{10, 1_000}, {1_000, 40}} {
		is := is.New(t)
		cfg := Default()
		cfg.InFlight, cfg.PerSecond = c.inFlight, c.perSecond
		p := New(cfg)
		n := 0
		for i := range 100 {
			if p.TryStart(clock.At(0), unit(i), table.MemberID(fmt.Sprint(i)), 1) {
				n++
			}
		}
		is.Equal(n, 10) // all in flight, or a burst of 250 ms
		is.Equal(p.InProgress(), 10)
		p.SetInProgress(nil)
		is.Equal(p.InProgress(), 0)
		is.True(p.TryStart(clock.At(time.Second), unit(1000), "other", 1))
		is.True(!p.TryStart(clock.At(2*time.Second), unit(1000), "third", 1)) // it moves already
	}
}
