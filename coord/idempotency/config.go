package idempotency

import "time"

// Default values of Config and CopyConfig.
const (
	DefaultLifetime           = 24 * time.Hour
	DefaultMaxClockSkew       = time.Minute
	DefaultMaxBytes           = 256 << 20
	DefaultPageBytes          = 1 << 20
	DefaultWriteTimeout       = 100 * time.Millisecond
	DefaultReplyMargin        = 5 * time.Millisecond
	DefaultSyncReportInterval = time.Second
	DefaultMaxCalls           = 10_000
)

// Config configures an Owner.
type Config struct {
	Self Member
	// DefaultLifetime is how long a record is kept if the assignment does not
	// say. A repeat that arrives later is a new request.
	DefaultLifetime time.Duration
	// MaxClockSkew is the largest expected difference of wall clocks. Requests that
	// name their time of issue find records for that long beyond the lifetime.
	MaxClockSkew time.Duration
	// MaxBytes bounds the memory of records. New keys are refused beyond it.
	MaxBytes int64
	// MaxInFlight bounds the requests in progress, including those that wait for
	// the records of a unit or for another request with their key.
	MaxInFlight int
	// PageBytes is the size of a write while a copy joins.
	PageBytes int64
	// WriteTimeout is the time after which a write or fetch without answer is
	// repeated. A shorter time hides a lost message sooner and sends more
	// duplicates to a slow copy.
	WriteTimeout time.Duration
	// ReplyMargin is how long before a request's deadline an answer is passed
	// on although a copy has not acknowledged the finished record.
	ReplyMargin time.Duration
	// SyncReportInterval is the interval at which Synced is repeated.
	SyncReportInterval time.Duration
	// AllowNoRemoteCopy lets requests run without a copy in another data
	// centre. The loss of one data centre then loses records, and a unit must
	// not stay NeverSynced once its owner is ready.
	AllowNoRemoteCopy bool
}

func (c Config) withDefaults() Config {
	setDefault(&c.DefaultLifetime, DefaultLifetime)
	setDefault(&c.MaxClockSkew, DefaultMaxClockSkew)
	setDefault(&c.MaxBytes, DefaultMaxBytes)
	setDefault(&c.MaxInFlight, DefaultMaxCalls)
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
