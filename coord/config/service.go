package config

import "strings"

// Service is a set of targets that answer the same requests.
type Service struct {
	Name string `json:"name"`
	// Keyed marks a service that is divided by key: each key has one owner.
	Keyed bool `json:"keyed,omitempty"`
	// Payments requires an idempotency key on every request that is not
	// idempotent, and records such requests so that they run at most once.
	Payments bool `json:"payments,omitempty"`
	// Internal marks a service that only other services use. It is not reachable
	// from other hosts through the listener for callers.
	Internal bool `json:"internal,omitempty"`
	// DataCentres lists where the service runs.
	DataCentres []string `json:"dataCentres"`
	// ShardCount is the number of shards of each key rule that sets none, or of the
	// whole service if it has no rules. More shards balance better and need more
	// table entries. The count of an existing key space cannot be changed.
	ShardCount uint32 `json:"shards,omitempty"`
	// Rules assign keys to data centres. Without rules every key may be in any of
	// DataCentres.
	Rules  []KeyRule `json:"rules,omitempty"`
	Limits Limits    `json:"limits,omitzero"`
	Ramp   Ramp      `json:"ramp,omitzero"`
	// RecordCopies is the number of instances besides the owner that keep a copy
	// of the idempotency records of payments.
	RecordCopies int `json:"recordCopies,omitempty"`
	// RecordLifetimeMs is the time for which the idempotency records of payments
	// are retained.
	RecordLifetimeMs int64 `json:"recordLifetimeMs,omitempty"`
}

// KeyRule assigns the keys with a prefix to data centres.
type KeyRule struct {
	Name string `json:"name"`
	// Prefix selects keys; the longest matching prefix decides. The empty
	// prefix covers every key.
	Prefix string `json:"prefix"`
	// DataCentres lists the service's data centres that the keys may be in; an
	// empty list allows all of them.
	DataCentres []string `json:"dataCentres"`
	// ShardCount is the number of shards of the rule; 0 means that of the service.
	ShardCount uint32 `json:"shards,omitempty"`
}

// Limits bounds the requests, targets and connections of one service.
type Limits struct {
	// TimeoutMs is the timeout of a request that sets none.
	TimeoutMs int64 `json:"timeoutMs,omitempty"`
	// MaxTimeoutMs is the longest timeout that a caller may set.
	MaxTimeoutMs int64 `json:"maxTimeoutMs,omitempty"`
	// QueueLength is the length of each gate's queue. A longer queue absorbs bursts
	// and hides a slow target for longer.
	QueueLength int `json:"queue,omitempty"`
	// SlotsPerTarget is an upper bound on the concurrent requests of each target,
	// in addition to the slots that it announces; 0 sets no bound.
	SlotsPerTarget int `json:"slotsPerTarget,omitempty"`
	// MinTargets is the number of targets that operators provide at least. It is
	// used to check the number of shards and of record copies.
	MinTargets int `json:"minTargets,omitempty"`
	// ConnectionsPerTarget is the maximum number of connections to each target.
	ConnectionsPerTarget int `json:"connectionsPerTarget,omitempty"`
}

// Ramp limits the concurrent requests of a target after a cold start.
type Ramp struct {
	// StartSlots is the concurrency limit at the start of the ramp.
	StartSlots int `json:"startSlots,omitempty"`
	// DurationMs is the time in which the limit rises from StartSlots to all slots.
	DurationMs int64 `json:"durationMs,omitempty"`
}

// Default values of a service, used where the document sets none.
const (
	DefaultShardCount           = 64
	DefaultTimeoutMs            = 2_000
	DefaultMaxTimeoutMs         = 30_000
	DefaultQueueLength          = 256
	DefaultConnectionsPerTarget = 130
	DefaultRampStartSlots       = 1
	DefaultRampMs               = 10_000
	DefaultRecordCopies         = 1
	DefaultRecordLifetimeMs     = 24 * 60 * 60 * 1_000
)

// WithDefaults returns a copy of s with the default values above in place of zero
// ones. The default of MaxTimeoutMs is raised to TimeoutMs if that is longer. Rules
// are not changed.
func (s Service) WithDefaults() Service {
	setDefault(&s.ShardCount, DefaultShardCount)
	setDefault(&s.Limits.TimeoutMs, DefaultTimeoutMs)
	setDefault(&s.Limits.MaxTimeoutMs, max(DefaultMaxTimeoutMs, s.Limits.TimeoutMs))
	setDefault(&s.Limits.QueueLength, DefaultQueueLength)
	setDefault(&s.Limits.ConnectionsPerTarget, DefaultConnectionsPerTarget)
	setDefault(&s.Ramp.StartSlots, DefaultRampStartSlots)
	setDefault(&s.Ramp.DurationMs, DefaultRampMs)
	setDefault(&s.RecordCopies, DefaultRecordCopies)
	setDefault(&s.RecordLifetimeMs, DefaultRecordLifetimeMs)
	return s
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Sharded reports whether the service is divided into shards: keyed services by
// their keys, payment services by their idempotency keys.
func (s *Service) Sharded() bool { return s.Keyed || s.Payments }

// Keyspace is a set of keys, those of a rule or of a whole service, that is
// divided into shards of its own.
type Keyspace struct {
	// Name is the service's name, or service:rule.
	Name        string
	Service     string
	DataCentres []string
	Shards      uint32
}

// Keyspaces returns the key spaces of a sharded service, with default values in
// place of zero ones. It returns nil for other services.
func (s *Service) Keyspaces() []Keyspace {
	if !s.Sharded() {
		return nil
	}
	full := s.WithDefaults()
	if len(s.Rules) == 0 {
		return []Keyspace{{Name: s.Name, Service: s.Name, DataCentres: s.DataCentres, Shards: full.ShardCount}}
	}
	spaces := make([]Keyspace, 0, len(s.Rules))
	for _, r := range s.Rules {
		k := Keyspace{Name: s.Name + ":" + r.Name, Service: s.Name, DataCentres: r.DataCentres, Shards: r.ShardCount}
		setDefault(&k.Shards, full.ShardCount)
		if len(k.DataCentres) == 0 {
			k.DataCentres = s.DataCentres
		}
		spaces = append(spaces, k)
	}
	return spaces
}

// KeyspaceOf returns the name of the key space that key belongs to. It
// reports false if no rule covers the key.
func (s *Service) KeyspaceOf(key string) (string, bool) {
	if len(s.Rules) == 0 {
		return s.Name, true
	}
	best := -1
	for i := range s.Rules {
		if strings.HasPrefix(key, s.Rules[i].Prefix) && (best < 0 || len(s.Rules[i].Prefix) > len(s.Rules[best].Prefix)) {
			best = i
		}
	}
	if best < 0 {
		return "", false
	}
	return s.Name + ":" + s.Rules[best].Name, true
}

// ServiceOf returns the name of the service that a key space belongs to.
func ServiceOf(keyspace string) string {
	service, _, _ := strings.Cut(keyspace, ":")
	return service
}
