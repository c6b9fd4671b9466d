// Package movelimit limits the rate and the number of planned moves of units, so
// that the receivers are not overloaded. The control leader of clusters with
// hashed shards uses it; a receiver is the member that a unit moves to.
package movelimit

import "time"

// Config holds the limits of a Limiter.
type Config struct {
	// MaxInProgress bounds all moves in progress.
	MaxInProgress int
	// StartsPerSecond bounds the moves started each second.
	StartsPerSecond float64
	// MaxInProgressPerReceiver bounds the moves in progress to one receiver.
	// Requests to a unit wait at ingress while the unit moves. The limit is reduced
	// during the ramp of a receiver, but not below 1.
	MaxInProgressPerReceiver int
	// StartsPerSecondPerReceiver bounds the moves started each second to one
	// receiver. The limit is reduced during the ramp of a receiver.
	StartsPerSecondPerReceiver float64
	// BurstPeriod sets the size of a burst: after a pause, the moves that the
	// rates allow in this time may start at once.
	BurstPeriod time.Duration
}

// Default returns the default limits. With them a data centre of 330 members with 20
// units each is drained to 2,970 receivers in about 3 s, and two of four members with
// 16 units each in 2 s.
func Default() Config {
	return Config{MaxInProgress: 1_024, StartsPerSecond: 2_500, MaxInProgressPerReceiver: 4, StartsPerSecondPerReceiver: 8, BurstPeriod: 250 * time.Millisecond}
}
