// Package timesource reads the process's clocks for the state machines of
// package coord.
package timesource

import (
	"time"

	"bramleyquay.example/coord/clock"
)

var start = time.Now()

// Now returns the current reading. The monotonic part counts from the start of
// the process.
func Now() clock.Reading {
	now := time.Now()
	return clock.Reading{Mono: now.Sub(start), Wall: time.Duration(now.UnixNano())}
}

// FromTime converts a time of this process.
func FromTime(t time.Time) clock.Reading {
	return clock.Reading{Mono: t.Sub(start), Wall: time.Duration(t.UnixNano())}
}
