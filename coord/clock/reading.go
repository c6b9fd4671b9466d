// Package clock defines readings of a process's clocks, which callers pass to state
// machines so that these need no clock of their own.
package clock

import "time"

// Reading is one reading of a process's two clocks.
type Reading struct {
	// Mono is the monotonic clock, in nanoseconds from an arbitrary origin.
	Mono time.Duration
	// Wall is the wall clock, in nanoseconds since the Unix epoch.
	Wall time.Duration
}

// At returns a reading with d on both clocks, for a time source that has only one
// clock, such as the virtual time of tests.
func At(d time.Duration) Reading { return Reading{Mono: d, Wall: d} }

// Since returns the time elapsed from earlier to r: the larger of the monotonic
// and the wall difference, because the monotonic clock may stand still while a
// machine is suspended. It is never negative. Use it where acting too late is
// unsafe: a step of the wall clock can lengthen it, but not make it shorter
// than the monotonic difference.
func (r Reading) Since(earlier Reading) time.Duration {
	return max(r.Mono-earlier.Mono, r.Wall-earlier.Wall, 0)
}

// MonoSince returns the monotonic time elapsed from earlier to r. It is never
// negative. Use it where acting too early is unsafe: a step of the wall clock
// cannot lengthen it, and the suspension of a machine can only shorten it.
func (r Reading) MonoSince(earlier Reading) time.Duration {
	return max(r.Mono-earlier.Mono, 0)
}

// Add returns the reading d later on both clocks.
func (r Reading) Add(d time.Duration) Reading {
	return Reading{Mono: r.Mono + d, Wall: r.Wall + d}
}

// IsZero reports whether both clocks are zero, which stands for a reading that
// was not set.
func (r Reading) IsZero() bool { return r == Reading{} }
