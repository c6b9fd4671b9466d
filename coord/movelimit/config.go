// Package movelimit paces planned moves of units, so that the receivers can take
// the load.
package movelimit

import "time"

// Config holds the limits of a Limiter.
type Config struct {
	// InFlight bounds all moves in progress.
	InFlight int
	// PerSecond bounds the moves started each second.
	PerSecond float64
	// ReceiverInFlight bounds the moves in progress to one receiver. Ingress
	// holds the requests of a unit while it moves.
	ReceiverInFlight int
	// ReceiverPerSecond bounds the moves started each second to one receiver.
	// A receiver in its ramp gets a part of it.
	ReceiverPerSecond float64
	// Burst is the time of moves that a receiver may get at once after a
	// pause.
	Burst time.Duration
}

// Default returns the project's values. A data centre of 330 members with 20
// units each is drained over 2,970 receivers in about 3 s; two of four members
// with 16 units each in 2 s.
func Default() Config {
	return Config{InFlight: 1_024, PerSecond: 2_500, ReceiverInFlight: 4, ReceiverPerSecond: 8, Burst: 250 * time.Millisecond}
}
