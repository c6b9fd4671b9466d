// Package lease implements both sides of a member's lease: Holder at the member and
// Tracker at the control leader. It belongs to the mode with hashed shards (package
// control).
package lease

import "time"

// Config holds the durations of a lease. Both sides must use the same values.
type Config struct {
	// Duration is the length of a lease. A shorter lease shortens failover but
	// raises the risk that a slow renewal interrupts service.
	Duration time.Duration
	// RenewInterval is the time between renewals. A shorter time costs more
	// messages.
	RenewInterval time.Duration
	// MaxClockDrift is the maximum divergence of two clocks over one Duration.
	MaxClockDrift time.Duration
	// Grace is the time that the tracker adds for a member whose target does
	// not check fences. It covers the delivery and the cancellation of a
	// request that was sent at the end of the lease.
	Grace time.Duration
	// ContactTimeout is the time without a granted renewal after which a
	// member admits no new work at all. It bounds the delay of drains and
	// configuration changes at a member that is cut off from the control
	// group.
	ContactTimeout time.Duration
}

// Default returns the default durations. With them the tracker reports a lease as
// expired 1.02 s after the last renewal if the target checks fences, and 1.12 s after
// it otherwise. The leader's next tick is at most 0.25 s later unless the leader stalls
// (control.Config.StallThreshold), so it detects a loss 1.02 s to 1.37 s after the last
// renewal. That leaves 0.6 s of the 2 s bound on failover for the assignment and its
// delivery.
func Default() Config {
	return Config{
		Duration:       time.Second,
		RenewInterval:  250 * time.Millisecond,
		MaxClockDrift:  20 * time.Millisecond,
		Grace:          100 * time.Millisecond,
		ContactTimeout: 3 * time.Second,
	}
}
