// Package lease holds both sides of a member's lease: the holder at the
// member and the tracker at the control leader.
package lease

import "time"

// Config holds the times of a lease. Both sides must use the same values.
type Config struct {
	// Duration is the lease's length. A shorter lease shortens failover and
	// raises the risk that a slow renewal ends service.
	Duration time.Duration
	// RenewInterval is the time between renewals. A shorter time costs messages.
	RenewInterval time.Duration
	// Drift bounds how much two clocks diverge over one Duration.
	Drift time.Duration
	// Grace is added by the tracker for a member whose target does not check
	// fences. It covers delivery and cancellation of a request sent at the
	// end of the lease.
	Grace time.Duration
	// ContactTimeout is the time without an answer from control after which a member
	// admits no new work at all. It bounds how late a drain or a
	// configuration takes effect behind a partition.
	ContactTimeout time.Duration
}

// Default returns the project's values. A loss is noticed 1.02 s to 1.37 s
// after the last renewal, which leaves 0.6 s of the 2 s bound for the
// assignment and its delivery.
func Default() Config {
	return Config{
		Duration:       time.Second,
		RenewInterval:  250 * time.Millisecond,
		Drift:          20 * time.Millisecond,
		Grace:          100 * time.Millisecond,
		ContactTimeout: 3 * time.Second,
	}
}
