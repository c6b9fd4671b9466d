// Package placement assigns units, which are shards or single hot keys, to
// members. It bounds the imbalance of the members' loads, moves as few units as
// possible, and does not react to noise in the loads.
//
// It is part of the mode with hashed shards: package control calls it.
package placement

import "time"

// Config configures a Planner. Loads may be of any kind, usually numbers of units
// or requests per second. Thresholds are ratios of a member's load, divided by
// its weight, to the mean.
type Config struct {
	// OverloadThreshold is the load over the mean above which a member makes
	// Rebalance start, if it exceeds the mean by at least its smallest unit.
	// Assign ignores a preference for a member that the unit would load above it.
	// A lower value balances better and moves more units.
	OverloadThreshold float64
	// OverloadStopThreshold is the largest load over the mean at which Rebalance
	// stops. The distance to OverloadThreshold keeps noisy loads from starting it
	// again.
	OverloadStopThreshold float64
	// UnderloadThreshold is the load over the mean below which a member makes
	// Rebalance start, for example after it was added or came back. Its load must
	// also be lower than the mean by at least the mean load of a unit.
	UnderloadThreshold float64
	// UnderloadStopThreshold is the load over the mean up to which underloaded
	// members then receive units.
	UnderloadStopThreshold float64
	// MinConsecutiveImbalances is the number of consecutive calls of Rebalance that
	// must find an imbalance before the first move.
	MinConsecutiveImbalances int
	// MoveCooldown is the time after a move for which a unit is not moved again.
	MoveCooldown time.Duration
}

// DefaultConfig returns the default values. OverloadThreshold is the stated bound
// on imbalance of 1.10.
func DefaultConfig() Config {
	return Config{OverloadThreshold: 1.10, OverloadStopThreshold: 1.05, UnderloadThreshold: 0.5, UnderloadStopThreshold: 0.9, MinConsecutiveImbalances: 3, MoveCooldown: time.Minute}
}
