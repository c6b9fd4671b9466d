package admission

import "time"

// Config bounds the work that one gate gives to its target. A zero value of an
// optional field selects the default.
type Config struct {
	// Slots is the number of requests that the target runs at once. More slots
	// give more throughput until the target slows down. Values below 1 count as 1.
	Slots int
	// RampStartSlots is the limit of a cold target, in requests. A higher value
	// shortens the time without service and loads a cold target more.
	RampStartSlots int
	// RampDuration is the time of work from RampStartSlots to Slots after a
	// cold start. A longer ramp protects the target and refuses more requests.
	// Zero means that a cold target takes all slots at once.
	RampDuration time.Duration
	// RecoveryDuration replaces RampDuration after a suspected cold start while
	// the service time is at its usual level. A short one returns a target that
	// was only slow for a moment sooner, and trusts a cold one sooner.
	// Default: RampDuration / 8.
	RecoveryDuration time.Duration
	// MaxIdleRampCredit is the longest time without an answer that counts as ramp
	// progress. A larger value lets a ramp end under little traffic and trusts
	// a target that has hardly worked. Default: 200 ms.
	MaxIdleRampCredit time.Duration
	// QueueLength bounds the waiting requests. A longer queue absorbs bursts and
	// adds waiting time under overload. Zero disables queueing.
	QueueLength int
	// KeepQueueWhenSlow keeps the whole queue in use while the target is slow. It
	// suits services sharded by key, where no other target can take the request.
	// Otherwise a slow target queues at most one request per slot, so that
	// callers go to another target instead of waiting here.
	KeepQueueWhenSlow bool
	// SlowFactor is the ratio of a service time to its recent level from which
	// it counts as slow. A lower value reacts to smaller changes and to noise.
	// Default: 3.
	SlowFactor float64
	// SlowSampleSurplus is the surplus of slow over other samples that lowers the
	// limit. A lower value reacts sooner and to noise. Default: 6.
	SlowSampleSurplus int
	// BaselineTimeConstant is the time constant of the recent level of service time. A
	// longer one remembers the usual level for longer and takes longer to accept
	// a lasting change. Default: 30 s.
	BaselineTimeConstant time.Duration
	// StallAfter is the shortest time without any answer after which a target
	// with work counts as stalled. A lower value reacts to pauses of the target
	// sooner and to long requests wrongly. Default: 250 ms.
	StallAfter time.Duration
}

// Default values of the optional fields.
const (
	DefaultIdleCredit  = 200 * time.Millisecond
	DefaultColdFactor  = 3.0
	DefaultColdSamples = 6
	DefaultLevelPeriod = 30 * time.Second
	DefaultStallAfter  = 250 * time.Millisecond
	// recoverySpeed is RampDuration over the default RecoveryDuration.
	recoverySpeed = 8
	// stallFactor is the number of usual service times without any answer that
	// counts as a stall. With several requests running, answers normally come
	// several times per service time.
	stallFactor = 20
)

// withDefaults replaces zero and impossible values.
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
		c.MaxIdleRampCredit = DefaultIdleCredit
	}
	if c.SlowFactor <= 1 {
		c.SlowFactor = DefaultColdFactor
	}
	if c.SlowSampleSurplus <= 0 {
		c.SlowSampleSurplus = DefaultColdSamples
	}
	if c.BaselineTimeConstant <= 0 {
		c.BaselineTimeConstant = DefaultLevelPeriod
	}
	if c.StallAfter <= 0 {
		c.StallAfter = DefaultStallAfter
	}
	return c
}
