package idempotency

import "time"

// Defaults for the fields of Config and CopyConfig that are zero. The default of
// CopyConfig.FenceLifetime is DefaultLifetime.
const (
	DefaultLifetime           = 24 * time.Hour
	DefaultMaxClockSkew       = time.Minute
	DefaultMaxBytes           = 256 << 20
	DefaultPageBytes          = 1 << 20
	DefaultWriteTimeout       = 100 * time.Millisecond
	DefaultReplyMargin        = 5 * time.Millisecond
	DefaultSyncReportInterval = time.Second
	DefaultMaxInFlight        = 10_000
)

// Config configures an Owner.
type Config struct {
	Self Member
	// DefaultLifetime is the retention period of a record if the assignment has
	// none. A retry that arrives later is a new request.
	DefaultLifetime time.Duration
	// MaxClockSkew is the largest expected difference between wall clocks. Records
	// are retained for that long after the lifetime, for requests with a time of
	// issue. Requests whose time of issue is further in the future are refused.
	MaxClockSkew time.Duration
	// MaxBytes bounds the estimated memory of all records, in bytes. When it is
	// reached, requests with new keys are refused; the responses to requests in
	// progress and the records of newly owned units are still stored.
	MaxBytes int64
	// MaxInFlight bounds the requests in progress, including those that wait for
	// the records of a unit or for another request with their key.
	MaxInFlight int
	// PageBytes bounds the records in one write to a syncing copy, in bytes.
	PageBytes int64
	// WriteTimeout is the time after which a write or fetch without reply is
	// retried. A shorter time recovers sooner from a lost message and sends more
	// duplicates to a slow copy.
	WriteTimeout time.Duration
	// ReplyMargin is how long before a request's deadline the response is sent to
	// the caller although a copy has not acknowledged the finished record.
	ReplyMargin time.Duration
	// SyncReportInterval is the interval at which Synced is repeated.
	SyncReportInterval time.Duration
	// AllowNoRemoteCopy allows requests to run without a copy in another data
	// centre, or without any copy. The loss of one data centre can then lose
	// records. Control must clear NeverSynced once the owner is ready, because
	// the next owner of a unit with NeverSynced starts without records.
	AllowNoRemoteCopy bool
}

func (c Config) withDefaults() Config {
	setDefault(&c.DefaultLifetime, DefaultLifetime)
	setDefault(&c.MaxClockSkew, DefaultMaxClockSkew)
	setDefault(&c.MaxBytes, DefaultMaxBytes)
	setDefault(&c.MaxInFlight, DefaultMaxInFlight)
	setDefault(&c.PageBytes, DefaultPageBytes)
	setDefault(&c.WriteTimeout, DefaultWriteTimeout)
	setDefault(&c.ReplyMargin, DefaultReplyMargin)
	setDefault(&c.SyncReportInterval, DefaultSyncReportInterval)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
