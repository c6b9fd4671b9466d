// Package timesource reads the clocks of the machine for the state machines in the
// module coord, which take the time as a parameter.
package timesource

import (
	"time"

	"bramleyquay.example/coord/clock"
)

var start = time.Now()

// Now returns a reading of the monotonic clock, counted from the start of the
// process, and of the wall clock. The monotonic clock stands still while the machine
// is suspended.
func Now() clock.Reading {
	now := time.Now()
	return clock.Reading{Mono: now.Sub(start), Wall: time.Duration(now.UnixNano())}
}

// FromTime converts t to a reading that can be compared with those of Now. t must
// have a monotonic part, as times from time.Now have.
func FromTime(t time.Time) clock.Reading {
	return clock.Reading{Mono: t.Sub(start), Wall: time.Duration(t.UnixNano())}
}
