package admission

import "time"

// Config configures a Limiter: the concurrency, the cold-start ramp, the queue
// and the detection of a slow target. Fields with a default are optional: zero
// and negative values select it.
type Config struct {
	// Slots is the maximum number of concurrent requests at the target. More
	// slots give more throughput until the target slows down. Values below 1
	// count as 1.
	Slots int
	// RampStartSlots is the concurrency limit at the start of the ramp of a cold
	// target. A higher value serves more requests right after the start and loads
	// a cold target more. It is raised to 1 or lowered to Slots if necessary.
	RampStartSlots int
	// RampDuration is the time in which the limit rises from RampStartSlots to
	// Slots after a cold start. Only time during which the target answers counts.
	// A longer ramp protects the target and refuses more requests. Zero disables
	// the ramp: the limit is always Slots, also for a cold, slow or stalled
	// target.
	RampDuration time.Duration
	// RecoveryDuration replaces RampDuration after the limit was lowered because
	// the target was slow or stalled. Slow answers do not advance the ramp then. A
	// shorter one restores the limit sooner for a target that was only slow for a
	// moment, but also for one that really is cold. It is at most RampDuration.
	// Default: RampDuration / 8.
	RecoveryDuration time.Duration
	// MaxIdleRampCredit bounds the time between two answers that counts as ramp
	// progress; if twice the service time is longer, that is the bound. A larger
	// value lets a ramp complete under little traffic, and gives full load to a
	// target that has hardly worked. Default: 200 ms.
	MaxIdleRampCredit time.Duration
	// QueueLength is the maximum number of waiting requests. A longer queue
	// absorbs bursts and adds waiting time under overload. Zero disables queueing.
	QueueLength int
	// KeepQueueWhenSlow keeps the whole queue in use while the target is slow. It
	// suits services sharded by key, where no other target can take the request.
	// Otherwise a slow target queues at most as many requests as its present
	// limit, so that callers go to another target instead of waiting here.
	KeepQueueWhenSlow bool
	// SlowFactor is the ratio of a service time to the baseline above which it
	// counts as slow. A lower value reacts to smaller changes and to noise.
	// Values of 1 and below select the default. Default: 3.
	SlowFactor float64
	// SlowSampleSurplus is the number of slow samples, less the number of other
	// samples, at which the limit is lowered. A lower value reacts sooner and to
	// noise. Default: 6.
	SlowSampleSurplus int
	// BaselineTimeConstant is the time constant of the moving average that is the
	// baseline of the service time. A longer one remembers the normal service
	// time for longer and takes longer to accept a lasting change. Default: 30 s.
	BaselineTimeConstant time.Duration
	// StallAfter is the shortest time without any answer after which a target with
	// running requests counts as stalled. The time is at least 20 times the
	// baseline service time, and nothing counts as a stall before there is a
	// baseline. A lower value detects pauses of the target sooner and mistakes
	// long requests for pauses. Default: 250 ms.
	StallAfter time.Duration
}

// Default values of the optional fields.
const (
	DefaultMaxIdleRampCredit    = 200 * time.Millisecond
	DefaultSlowFactor           = 3.0
	DefaultSlowSampleSurplus    = 6
	DefaultBaselineTimeConstant = 30 * time.Second
	DefaultStallAfter           = 250 * time.Millisecond
	// recoverySpeed is the ratio of RampDuration to the default RecoveryDuration.
	recoverySpeed = 8
	// stallFactor is the time without any answer, in multiples of the baseline
	// service time, from which a target counts as stalled; StallAfter applies if
	// it is longer. With several requests running, answers normally come several
	// times per service time.
	stallFactor = 20
)

// withDefaults replaces zero and invalid values, and bounds RampStartSlots by
// Slots and RecoveryDuration by RampDuration.
func (c Config) withDefaults() Config {
	c.Slots = max(c.Slots, 1)
	c.RampStartSlots = min(max(c.RampStartSlots, 1), c.Slots)
	c.RampDuration = max(c.RampDuration, 0)
	c.QueueLength = max(c.QueueLength, 0)
	if c.RecoveryDuration <= 0 {
		c.RecoveryDuration = c.RampDuration / recoverySpeed
	}
	c.RecoveryDuration = min(c.RecoveryDuration, c.RampDuration)
	if c.MaxIdleRampCredit <= 0 {
		c.MaxIdleRampCredit = DefaultMaxIdleRampCredit
	}
	if c.SlowFactor <= 1 {
		c.SlowFactor = DefaultSlowFactor
	}
	if c.SlowSampleSurplus <= 0 {
		c.SlowSampleSurplus = DefaultSlowSampleSurplus
	}
	if c.BaselineTimeConstant <= 0 {
		c.BaselineTimeConstant = DefaultBaselineTimeConstant
	}
	if c.StallAfter <= 0 {
		c.StallAfter = DefaultStallAfter
	}
	return c
}
