package hotkey

import "time"

// Config configures a Planner. Fields whose names end in Share are fractions of
// the mean load of a member.
type Config struct {
	// OverloadThreshold is the imbalance (largest load over mean) above which the
	// planner moves keys, and OverloadStopThreshold the one at which it stops. The
	// distance between them keeps noise from starting moves. OverloadThreshold has
	// to be below the goal of 1.10.
	OverloadThreshold, OverloadStopThreshold float64
	// MinKeyShare is the smallest rate of a key or shard that is split out or
	// moved.
	MinKeyShare float64
	// MinGainShare is the smallest reduction of the largest load, as a share, that
	// justifies a move.
	MinGainShare float64
	// MergeBelowShare is the share at or below which a split key has to be for
	// MergeAfter before it is merged into its shard. It is well below MinKeyShare,
	// so that keys are not split and merged in turn.
	MergeBelowShare float64
	MergeAfter      time.Duration
	// MovesPerMinute bounds splits, moves and merges together; the unused budget
	// of at most one minute can be used at once. In each of them the key's
	// ownership changes, and requests for the key wait meanwhile.
	MovesPerMinute float64
	// PlanCooldown is the shortest time between plans that change something, so
	// that the loads show the effect of the last one.
	PlanCooldown time.Duration
	// MoveCooldown is the time after a split, move or merge for which a key is not
	// split, moved or merged again.
	MoveCooldown time.Duration
	// Smoothing is the time constant of the averages of all loads.
	Smoothing time.Duration
}

// DefaultConfig returns the values that package control uses. With 93 hot keys
// that change every few minutes, 60 changes a minute are enough to split all of
// the new ones within 93 s.
func DefaultConfig() Config {
	return Config{
		OverloadThreshold: 1.07, OverloadStopThreshold: 1.03, MinKeyShare: 0.002, MinGainShare: 0.0015,
		MergeBelowShare: 0.001, MergeAfter: 2 * time.Minute, MovesPerMinute: 60,
		PlanCooldown: 10 * time.Second, MoveCooldown: time.Minute, Smoothing: 10 * time.Second,
	}
}
