package hotkey

import "time"

// Config configures a Planner. Shares are fractions of the mean load of a
// member.
type Config struct {
	// High is the imbalance (largest load over mean) at which the planner
	// acts, and Low the one at which it stops. The distance keeps noise from
	// starting moves. High stays below the goal of 1.10.
	High, Low float64
	// MinKey is the smallest share that is worth a unit of its own.
	MinKey float64
	// MinGain is the smallest reduction of the largest load, as a share, that
	// justifies a move.
	MinGain float64
	// MergeBelow is the share below which a split key is merged after
	// MergeAfter. It is well below MinKey so that keys do not flap.
	MergeBelow float64
	MergeAfter time.Duration
	// MovesPerMinute bounds splits, moves and merges together. Each costs a
	// hand-over during which requests for the key are held.
	MovesPerMinute float64
	// Settle is the time between plans that change something, so that loads
	// show the effect of the last one.
	Settle time.Duration
	// Dwell is the time that a key stays where it was moved to.
	Dwell time.Duration
	// Smoothing is the time constant of the averages of all loads.
	Smoothing time.Duration
}

// Default returns the values used by control. With 93 hot keys that change
// every few minutes, 60 moves a minute replace all of them within 93 s.
func Default() Config {
	return Config{
		High: 1.07, Low: 1.03, MinKey: 0.002, MinGain: 0.0015,
		MergeBelow: 0.001, MergeAfter: 2 * time.Minute, MovesPerMinute: 60,
		Settle: 10 * time.Second, Dwell: time.Minute, Smoothing: 10 * time.Second,
	}
}
