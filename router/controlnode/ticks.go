package controlnode

import (
	"bramleyquay.example/coord/clock"
	"bramleyquay.example/router/raftdriver"
)

// ticks returns the ticks of the replicated log that have passed.
func ticks(last, now clock.Reading, leads bool) (int, clock.Reading) {
	return raftdriver.ElapsedTicks(last, now, leads, tickInterval, maxCatchUpTicks)
}
