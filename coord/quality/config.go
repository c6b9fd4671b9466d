package quality

import "time"

// Config configures a Meter.
type Config struct {
	// HoldTime is the shortest time at a weight before it rises.
	HoldTime time.Duration
	// QuietTime is the time without a bad response after which one good response
	// raises the weight. It replaces the number of good responses at targets that
	// get few requests.
	QuietTime time.Duration
	// PublishTime is the time for which the weight must be above the published one
	// before that rises. Each change of the published weight is sent to all processes,
	// so it must not follow a target that is good and bad in turns.
	PublishTime time.Duration
}

// DefaultConfig returns the default configuration.
func DefaultConfig() Config {
	return Config{HoldTime: time.Second, QuietTime: 4 * time.Second, PublishTime: 5 * time.Second}
}

// step is one weight and the quality from which it applies.
type step struct {
	weight int // in eighths
	// badShare is the share of bad responses from which the weight is at most this
	// step's.
	badShare float64
	// goodInRow is the number of good responses in a row that end the step.
	goodInRow int
}

// steps lists the steps below Full, the lowest weight first. A target that rejects or
// fails one request in ten gets half of its work, one that fails half of its requests
// the least. More good responses are needed for higher weights, because at a target
// that fails one request in ten runs of good responses are long.
var steps = []step{
	{weight: 1, badShare: 0.5, goodInRow: 6},
	{weight: 2, badShare: 0.25, goodInRow: 10},
	{weight: 4, badShare: 0.1, goodInRow: 24},
}

const (
	// shareWeight is the weight of the newest response in the share of bad ones. A
	// single bad response must not count as one in ten.
	shareWeight = 1.0 / 16
	// badInRowLimit is the number of bad responses in a row that lower the weight to
	// the lowest step at once. At a target that fails one request in ten, one run of
	// three in a thousand has that length.
	badInRowLimit = 3
)
