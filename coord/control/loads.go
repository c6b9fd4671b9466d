package control

import (
	"math"
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/shard"
)

// unitLoads smooths the request rates that members report for their units.
type unitLoads struct {
	halfLife time.Duration
	rates    map[shard.Unit]smoothed
}

type smoothed struct {
	rate float64
	at   clock.Reading
}

func newUnitLoads(halfLife time.Duration) unitLoads {
	return unitLoads{halfLife: halfLife, rates: map[shard.Unit]smoothed{}}
}

func (l *unitLoads) report(now clock.Reading, u shard.Unit, rate float64) {
	if math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
		return
	}
	old, known := l.rates[u]
	if known {
		keep := math.Exp2(-now.MonoSince(old.at).Seconds() / l.halfLife.Seconds())
		rate = old.rate*keep + rate*(1-keep)
	}
	l.rates[u] = smoothed{rate: rate, at: now}
}

func (l *unitLoads) of(u shard.Unit) float64 { return l.rates[u].rate }
