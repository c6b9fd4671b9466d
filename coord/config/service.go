package config

import "strings"

// Service is a set of targets that answer the same requests.
type Service struct {
	Name string `json:"name"`
	// Keyed services are divided by key: each key has one owner.
	Keyed bool `json:"keyed,omitempty"`
	// Payments makes an idempotency key necessary on every request that is not
	// idempotent, and records such requests so that they run at most once.
	Payments bool `json:"payments,omitempty"`
	// Internal services are not reachable through the callers' listener from
	// other hosts; they feed other services.
	Internal bool `json:"internal,omitempty"`
	// DataCentres lists where the service runs.
	DataCentres []string `json:"dataCentres"`
	// Shards is the number of units of each key rule, or of the whole service
	// without rules. More shards balance better and cost table entries.
	ShardCount uint32 `json:"shards,omitempty"`
	// Rules say which keys belong where. Without rules every key may live in
	// any of DataCentres.
	Rules  []KeyRule `json:"rules,omitempty"`
	Limits Limits    `json:"limits,omitzero"`
	Ramp   Ramp      `json:"ramp,omitzero"`
	// RecordCopies is the number of further instances that hold the record of
	// a payment.
	RecordCopies int `json:"recordCopies,omitempty"`
	// RecordLifetimeMs is how long records of payments are kept.
	RecordLifetimeMs int64 `json:"recordLifetimeMs,omitempty"`
}

// KeyRule places the keys with a prefix.
type KeyRule struct {
	Name string `json:"name"`
	// Prefix selects keys; the longest matching prefix decides. The empty
	// prefix covers every key.
	Prefix      string   `json:"prefix"`
	DataCentres []string `json:"dataCentres"`
	ShardCount  uint32   `json:"shards,omitempty"`
}

// Limits bounds work of one service.
type Limits struct {
	// TimeoutMs is the deadline of a request that names none.
	TimeoutMs int64 `json:"timeoutMs,omitempty"`
	// MaxTimeoutMs is the longest deadline a caller may ask for.
	MaxTimeoutMs int64 `json:"maxTimeoutMs,omitempty"`
	// Queue is the length of each gate's queue. A longer queue absorbs bursts
	// and hides a slow target for longer.
	QueueLength int `json:"queue,omitempty"`
	// SlotsPerTarget caps the concurrent requests of each target below the
	// slots that it announces; 0 sets no cap.
	SlotsPerTarget int `json:"slotsPerTarget,omitempty"`
	// MinTargets is the number of targets that operators promise.
	MinTargets int `json:"minTargets,omitempty"`
	// ConnectionsPerTarget bounds connections to each target.
	ConnectionsPerTarget int `json:"connectionsPerTarget,omitempty"`
}

// Ramp bounds the work of a target after a cold start.
type Ramp struct {
	// StartSlots is the concurrency at the start of the ramp.
	StartSlots int `json:"startSlots,omitempty"`
	// DurationMs is the time from StartSlots to all slots.
	DurationMs int64 `json:"durationMs,omitempty"`
}

// Default values of a service, used where the document gives none.
const (
	DefaultShards               = 64
	DefaultTimeoutMs            = 2_000
	DefaultMaxTimeoutMs         = 30_000
	DefaultQueue                = 256
	DefaultConnectionsPerTarget = 130
	DefaultRampStartSlots       = 1
	DefaultRampMs               = 10_000
	DefaultRecordCopies         = 1
	DefaultRecordLifetimeMs     = 24 * 60 * 60 * 1_000
)

// WithDefaults returns s with default values in place of zero ones.
func (s Service) WithDefaults() Service {
	setDefault(&s.ShardCount, DefaultShards)
	setDefault(&s.Limits.TimeoutMs, DefaultTimeoutMs)
	setDefault(&s.Limits.MaxTimeoutMs, max(DefaultMaxTimeoutMs, s.Limits.TimeoutMs))
	setDefault(&s.Limits.QueueLength, DefaultQueue)
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

// Sharded reports whether the service has units: keyed services for their
// keys, payment services for their idempotency keys.
func (s *Service) Sharded() bool { return s.Keyed || s.Payments }

// Keyspace is a set of keys that is divided into shards of its own.
type Keyspace struct {
	// Name is the service's name, or service:rule.
	Name        string
	Service     string
	DataCentres []string
	Shards      uint32
}

// Keyspaces returns the key spaces of a sharded service.
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
