package control

import (
	"math"
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/shard"
)

// unitLoads holds exponential moving averages of the request rates that members
// report for their units.
type unitLoads struct {
	halfLife time.Duration
	rates    map[shard.Unit]smoothedRate
}

type smoothedRate struct {
	rate float64
	at   clock.Reading
}

func newUnitLoads(halfLife time.Duration) unitLoads {
	return unitLoads{halfLife: halfLife, rates: map[shard.Unit]smoothedRate{}}
}

// report adds a rate in requests per second. Invalid rates are ignored.
func (l *unitLoads) report(now clock.Reading, u shard.Unit, rate float64) {
	if math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
		return
	}
	old, known := l.rates[u]
	if known {
		weight := math.Exp2(-now.MonoSince(old.at).Seconds() / l.halfLife.Seconds())
		rate = old.rate*weight + rate*(1-weight)
	}
	l.rates[u] = smoothedRate{rate: rate, at: now}
}

func (l *unitLoads) of(u shard.Unit) float64 { return l.rates[u].rate }
