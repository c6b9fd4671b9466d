// Package routes defines the routing document of the fleet mode. It routes
// requests by host and path: it states which service a request goes to, whether
// it may be retried, and how long it may take.
package routes

import "time"

// Kind states whether the requests of a route may be retried after they may have
// been executed.
type Kind string

const (
	// Idempotent requests may be executed more than once.
	Idempotent Kind = "safe"
	// NonIdempotent requests are executed at most once for each attempt of a caller.
	NonIdempotent Kind = "unsafe"
	// Upload requests have large bodies and are executed at most once for each attempt
	// of a caller, like NonIdempotent ones.
	Upload Kind = "upload"
)

// IsKnown reports whether k is one of the defined kinds.
func (k Kind) IsKnown() bool { return k == Idempotent || k == NonIdempotent || k == Upload }

// IsIdempotent reports whether requests of this kind may be executed more than once.
func (k Kind) IsIdempotent() bool { return k == Idempotent }

// Document is a complete routing document. It must not change once it is validated.
type Document struct {
	// Version is set by the operator and must rise with each change.
	Version  uint64    `json:"version" cbor:"1,keyasint"`
	Limits   Limits    `json:"limits" cbor:"2,keyasint"`
	Routes   []Route   `json:"routes" cbor:"3,keyasint"`
	Services []Service `json:"services" cbor:"4,keyasint"`
	// Accounts are the client accounts. Without any, requests need no key.
	Accounts []Account `json:"accounts,omitempty" cbor:"5,keyasint,omitempty"`
}

// Limits bound what callers may send. Zero selects the default of the process.
type Limits struct {
	// HeaderBytes and BodyBytes bound one request, in bytes.
	HeaderBytes int64 `json:"headerBytes" cbor:"1,keyasint"`
	BodyBytes   int64 `json:"bodyBytes" cbor:"2,keyasint"`
	// HeaderTimeout bounds the time in which the header of a request must arrive.
	HeaderTimeout time.Duration `json:"headerTimeout" cbor:"3,keyasint"`
	// IdleTimeout is the time after which an idle connection is closed.
	IdleTimeout time.Duration `json:"idleTimeout" cbor:"4,keyasint"`
}

// Route sends the requests for one host and path prefix to one or more services.
type Route struct {
	Name string `json:"name" cbor:"1,keyasint"`
	// Host is compared without regard to case.
	Host string `json:"host" cbor:"2,keyasint"`
	// Prefix starts and ends with a slash. The longest matching prefix wins.
	Prefix string `json:"prefix" cbor:"3,keyasint"`
	Kind   Kind   `json:"kind" cbor:"4,keyasint"`
	// Priority orders the requests at a target: those with a lower number start
	// sooner and are refused later under overload. 0 is the highest priority.
	Priority int `json:"rank" cbor:"5,keyasint"`
	// LatencyObjective is the latency within which an answer has its full value for
	// the caller. Zero, or an objective after the deadline, means the deadline.
	LatencyObjective time.Duration `json:"objective" cbor:"6,keyasint"`
	// Timeout bounds the time for which a caller waits. Zero selects the default of
	// the ingress.
	Timeout time.Duration `json:"timeout" cbor:"7,keyasint"`
	// Attempts bounds the tries of one request that reach a target. Zero means one.
	Attempts int `json:"attempts" cbor:"8,keyasint"`
	// Destinations are the services that the requests are divided among.
	Destinations []WeightedService `json:"parts" cbor:"9,keyasint"`
	// Public routes need no key. It has no meaning without accounts.
	Public bool `json:"public,omitempty" cbor:"10,keyasint,omitempty"`
}

// WeightedService is a service that gets a fraction of a route's requests.
type WeightedService struct {
	Service string `json:"service" cbor:"1,keyasint"`
	// Weight is relative to the weights of the route's other destinations.
	Weight int `json:"weight" cbor:"2,keyasint"`
}

// Service describes the targets of one service.
type Service struct {
	Name string `json:"name" cbor:"1,keyasint"`
	// MaxConnections bounds the connections that one target accepts. The router does
	// not use it.
	MaxConnections int `json:"maxConnections" cbor:"2,keyasint"`
	// ColdPeriod is the time after its start for which a target is cold. The router
	// does not use it: targets announce for how long they remain cold.
	ColdPeriod time.Duration `json:"coldPeriod" cbor:"3,keyasint"`
	// ColdRate is the number of requests per second that a cold target can take.
	// Zero means no bound.
	ColdRate float64 `json:"coldRate" cbor:"4,keyasint"`
	// Sharded services are divided by key: a target serves a request only while it
	// holds a grant for the request's key.
	Sharded bool `json:"sharded" cbor:"5,keyasint"`
	// Warmup is the time for which requests are slow on keys that were assigned
	// without a handover token. The router does not use it.
	Warmup time.Duration `json:"warmup" cbor:"6,keyasint"`
}

// Bounds of the times of a route.
const (
	// MaxTimeout is the longest timeout of a route.
	MaxTimeout = 10 * time.Minute
	// MaxObjectiveExcess bounds the latency objective minus the timeout. The
	// difference must be smaller.
	MaxObjectiveExcess = time.Minute
)
