// Package quota divides limits on the rate of requests among processes. The Allocator
// of the control leader assigns allotments, and the Holder of each process admits
// requests within them, without a message per request. Both are state machines without a
// clock: times are readings of the boot clock of the machine that calls them.
package quota

import "time"

// Limit bounds the requests that all processes together admit: in any time t at most
// Rate*t + Burst.
type Limit struct {
	Rate  float64 // requests per second
	Burst float64 // requests; a burst below 1 counts as 1
}

// effective returns the limit with a burst of at least one request.
func (l Limit) effective() Limit { return Limit{Rate: l.Rate, Burst: max(l.Burst, 1)} }

// Config configures allocators and holders. It must be the same at all processes.
type Config struct {
	// Validity is the time for which allotments are in force after the sending of the
	// renewal whose reply granted or extended them. It is longer than the time for which
	// a process may be cut off from control, and than an election. The part of a process
	// that was lost is unused for that time.
	Validity time.Duration
	// Margin is added to Validity by the allocator. It covers the drift of clocks.
	Margin time.Duration
	// SilentAfter is the time without a report after which a registration is removed. It
	// is longer than Validity and Margin. A new leader waits for the reports of all
	// registered processes, so registrations of lost ones should not remain.
	SilentAfter time.Duration
	// ReturnAfter is the time without a request after which a process returns tokens that
	// were handed over to it.
	ReturnAfter time.Duration
	// CentralRate is the highest rate, in requests per second, at which the leader keeps
	// the whole limit and hands over single tokens. Divided into smaller buckets, a small
	// limit would refuse requests that arrive in short succession.
	CentralRate float64
}

// DefaultConfig returns the default configuration.
func DefaultConfig() Config {
	const validity = 8 * time.Second
	return Config{
		Validity: validity,
		// Clocks run up to 2% slow, doubled because two take part; timers add some time.
		Margin:      validity/25 + 200*time.Millisecond,
		SilentAfter: validity + 2*time.Second,
		ReturnAfter: 5 * time.Second,
		CentralRate: 20,
	}
}

// quickTime is the time after the sending of a renewal in which waiting requests may use
// the tokens of its reply. It covers a round trip, and the reading of the reply at a busy
// process.
const quickTime = 100 * time.Millisecond

// isCentral reports whether the leader keeps the whole limit and processes get single
// tokens.
func (c Config) isCentral(l Limit) bool { return l.Rate <= c.CentralRate }

// isQuick reports whether the leader counts tokens for waiting requests as used when it
// hands them over. Their use may be later by quickTime, so the burst is smaller by what
// the rate gives in that time; it must remain large enough.
func (c Config) isQuick(l Limit) bool { return c.isCentral(l) && l.Burst-quickPart(l) >= 2 }

// quickPart returns the number of requests by which the use of tokens may be later than
// their handover. Clocks that run slow add to the time.
func quickPart(l Limit) float64 { return l.Rate * quickTime.Seconds() * 1.04 }

// lost returns the time after the last reply to a process from which nothing of its
// allotments can be in force.
func (c Config) lost() time.Duration { return c.Validity + c.Margin }
