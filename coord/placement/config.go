// Package placement decides which member owns which unit: bounded imbalance,
// least movement, and no reaction to noise.
package placement

import "time"

// Config holds the bounds of a Planner. Loads are in the unit of the caller,
// usually units or requests per second.
type Config struct {
	// Trigger is the largest load over the mean above which Rebalance starts.
	// A lower value balances better and moves more.
	Trigger float64
	// Settle is the largest load over the mean at which Rebalance stops. The
	// distance to Trigger keeps noisy loads from starting it again.
	Settle float64
	// LowTrigger is the load over the mean below which a member is filled.
	LowTrigger float64
	// LowSettle is the load over the mean to which such a member is filled.
	LowSettle float64
	// Sustain is the number of consecutive calls of Rebalance that must find
	// an imbalance before the first move.
	Sustain int
	// Dwell is the time for which a moved unit stays where it is.
	Dwell time.Duration
}

// Default returns the project's values. Trigger is the stated bound on
// imbalance of 1.10.
func Default() Config {
	return Config{Trigger: 1.10, Settle: 1.05, LowTrigger: 0.5, LowSettle: 0.9, Sustain: 3, Dwell: time.Minute}
}
