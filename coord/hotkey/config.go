package hotkey

import "time"

// Config configures a Planner. Shares are fractions of the mean load of a
// member.
type Config struct {
	// OverloadThreshold is the imbalance (largest load over mean) at which the planner
	// acts, and OverloadStopThreshold the one at which it stops. The distance keeps noise from
	// starting moves. OverloadThreshold stays below the goal of 1.10.
	OverloadThreshold, OverloadStopThreshold float64
	// MinKeyShare is the smallest share that is worth a unit of its own.
	MinKeyShare float64
	// MinGainShare is the smallest reduction of the largest load, as a share, that
	// justifies a move.
	MinGainShare float64
	// MergeBelowShare is the share below which a split key is merged after
	// MergeAfter. It is well below MinKeyShare so that keys do not flap.
	MergeBelowShare float64
	MergeAfter      time.Duration
	// MovesPerMinute bounds splits, moves and merges together. Each costs a
	// hand-over during which requests for the key are held.
	MovesPerMinute float64
	// PlanCooldown is the time between plans that change something, so that loads
	// show the effect of the last one.
	PlanCooldown time.Duration
	// MoveCooldown is the time that a key stays where it was moved to.
	MoveCooldown time.Duration
	// Smoothing is the time constant of the averages of all loads.
	Smoothing time.Duration
}

// DefaultConfig returns the values used by control. With 93 hot keys that change
// every few minutes, 60 moves a minute replace all of them within 93 s.
func DefaultConfig() Config {
	return Config{
		OverloadThreshold: 1.07, OverloadStopThreshold: 1.03, MinKeyShare: 0.002, MinGainShare: 0.0015,
		MergeBelowShare: 0.001, MergeAfter: 2 * time.Minute, MovesPerMinute: 60,
		PlanCooldown: 10 * time.Second, MoveCooldown: time.Minute, Smoothing: 10 * time.Second,
	}
}
