package idempotency

import "time"

// Default values of Config and CopyConfig.
const (
	DefaultLifetime     = 24 * time.Hour
	DefaultMargin       = time.Minute
	DefaultMaxBytes     = 256 << 20
	DefaultPageBytes    = 1 << 20
	DefaultWriteTimeout = 100 * time.Millisecond
	DefaultReplyMargin  = 5 * time.Millisecond
	DefaultSyncRepeat   = time.Second
	DefaultMaxCalls     = 10_000
)

// Config configures an Owner.
type Config struct {
	Self Member
	// DefaultLifetime is how long a record is kept if the assignment does not
	// say. A repeat that arrives later is a new request.
	DefaultLifetime time.Duration
	// Margin is the largest expected difference of wall clocks. Requests that
	// name their time of issue find records for that long beyond the lifetime.
	Margin time.Duration
	// MaxBytes bounds the memory of records. New keys are refused beyond it.
	MaxBytes int64
	// MaxCalls bounds the requests in progress, including those that wait for
	// the records of a unit or for another request with their key.
	MaxCalls int
	// PageBytes is the size of a write while a copy joins.
	PageBytes int64
	// WriteTimeout is the time after which a write or fetch without answer is
	// repeated. A shorter time hides a lost message sooner and sends more
	// duplicates to a slow copy.
	WriteTimeout time.Duration
	// ReplyMargin is how long before a request's deadline an answer is passed
	// on although a copy has not acknowledged the finished record.
	ReplyMargin time.Duration
	// SyncRepeat is the interval at which Synced is repeated.
	SyncRepeat time.Duration
	// AllowNoRemoteCopy lets requests run without a copy in another data
	// centre. The loss of one data centre then loses records, and a unit must
	// not stay Fresh once its owner is ready.
	AllowNoRemoteCopy bool
}

func (c Config) withDefaults() Config {
	setDefault(&c.DefaultLifetime, DefaultLifetime)
	setDefault(&c.Margin, DefaultMargin)
	setDefault(&c.MaxBytes, DefaultMaxBytes)
	setDefault(&c.MaxCalls, DefaultMaxCalls)
	setDefault(&c.PageBytes, DefaultPageBytes)
	setDefault(&c.WriteTimeout, DefaultWriteTimeout)
	setDefault(&c.ReplyMargin, DefaultReplyMargin)
	setDefault(&c.SyncRepeat, DefaultSyncRepeat)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
