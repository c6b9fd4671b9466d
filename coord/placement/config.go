// Package placement decides which member owns which unit: bounded imbalance,
// least movement, and no reaction to noise.
package placement

import "time"

// Config holds the bounds of a Planner. Loads are in the unit of the caller,
// usually units or requests per second.
type Config struct {
	// OverloadThreshold is the largest load over the mean above which Rebalance starts.
	// A lower value balances better and moves more.
	OverloadThreshold float64
	// OverloadStopThreshold is the largest load over the mean at which Rebalance stops. The
	// distance to OverloadThreshold keeps noisy loads from starting it again.
	OverloadStopThreshold float64
	// UnderloadThreshold is the load over the mean below which a member is filled.
	UnderloadThreshold float64
	// UnderloadStopThreshold is the load over the mean to which such a member is filled.
	UnderloadStopThreshold float64
	// MinConsecutiveImbalances is the number of consecutive calls of Rebalance that must find
	// an imbalance before the first move.
	MinConsecutiveImbalances int
	// MoveCooldown is the time for which a moved unit stays where it is.
	MoveCooldown time.Duration
}

// DefaultConfig returns the project's values. OverloadThreshold is the stated bound on
// imbalance of 1.10.
func DefaultConfig() Config {
	return Config{OverloadThreshold: 1.10, OverloadStopThreshold: 1.05, UnderloadThreshold: 0.5, UnderloadStopThreshold: 0.9, MinConsecutiveImbalances: 3, MoveCooldown: time.Minute}
}
