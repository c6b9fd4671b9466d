package controlnode

import (
	"bramleyquay.example/coord/clock"
	"bramleyquay.example/router/raftdriver"
)

// elapsedTicks returns the number of ticks that have passed between last and
// now, and the reading up to which they are counted. leads is set on the leader.
func elapsedTicks(last, now clock.Reading, leads bool) (int, clock.Reading) {
	return raftdriver.ElapsedTicks(last, now, leads, tickInterval, maxCatchUpTicks)
}
