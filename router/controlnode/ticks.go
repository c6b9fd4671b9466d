package controlnode

import (
	"bramleyquay.example/coord/clock"
	"bramleyquay.example/router/raftwire"
)

// ticks returns the ticks of the replicated log that have passed.
func ticks(last, now clock.Reading, leads bool) (int, clock.Reading) {
	return raftwire.Ticks(last, now, leads, tickInterval, maxCatchUpTicks)
}
