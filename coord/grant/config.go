package grant

import "time"

// Config configures an Issuer.
type Config struct {
	// MaxGrant is the longest duration of a grant.
	MaxGrant time.Duration
	// MaxClockDrift is the fraction by which the target's clock may run slow.
	// Grants are shorter than the lease by this fraction.
	MaxClockDrift float64
	// MinGrant is the shortest grant to issue. If less of the lease is left, the
	// answer has no grant.
	MinGrant time.Duration
	// MaxUnlistedReports is the number of successive reports that do not list a range
	// after which the range counts as released without a token. All but the last may
	// have been sent before the answer that granted it arrived. More reports are safe
	// for targets that announce themselves more often while they wait for an answer,
	// and make the release of a range that was never taken slower.
	MaxUnlistedReports int
	// MaxBytes bounds the encoded ranges in the answer to an announcement. A range
	// takes RangeBytes and the length of its handover token in JSON. Ranges that the target
	// already holds are always included; others that exceed the bound are deferred
	// to a later answer.
	MaxBytes, RangeBytes int
}

const (
	// answerTimeout is the time from the sending of an announcement after which a
	// target ignores the answer.
	answerTimeout = time.Second
	// minUnlistedReports is the least value of MaxUnlistedReports.
	minUnlistedReports = 2
)

// DefaultConfig returns the default configuration, for targets that announce
// themselves at the given interval, whose clocks run at most 2% slow and that accept
// answers of 4 KiB including the header. Package platform encodes a range as
// [from,to,fence,"token"] and a comma, which takes at most 26 bytes without the token
// while fences are below a hundred million.
func DefaultConfig(maxGrant, announceInterval time.Duration) Config {
	unlisted := minUnlistedReports
	if announceInterval > 0 {
		unlisted = max(unlisted, 1+int(answerTimeout/announceInterval))
	}
	return Config{
		MaxGrant: maxGrant, MaxClockDrift: 0.02, MinGrant: 100 * time.Millisecond, MaxUnlistedReports: unlisted,
		MaxBytes: 3800, RangeBytes: 26,
	}
}
