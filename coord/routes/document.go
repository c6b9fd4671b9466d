// Package routes holds the operator's routing document for callers that are
// told apart by host and path: which service a request goes to, what may be
// repeated, and how long it may take.
package routes

import "time"

// Kind states what may be repeated on a route.
type Kind string

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "safe"
	// NonIdempotent requests run at most once for each attempt of a caller.
	NonIdempotent Kind = "unsafe"
)

// Document is a whole routing configuration. It is immutable once validated.
type Document struct {
	// Version is chosen by the operator and rises with each change.
	Version  uint64    `json:"version" cbor:"1,keyasint"`
	Limits   Limits    `json:"limits" cbor:"2,keyasint"`
	Routes   []Route   `json:"routes" cbor:"3,keyasint"`
	Services []Service `json:"services" cbor:"4,keyasint"`
}

// Limits bound what callers may send.
type Limits struct {
	// HeaderBytes and BodyBytes bound one request, in bytes.
	HeaderBytes int64 `json:"headerBytes" cbor:"1,keyasint"`
	BodyBytes   int64 `json:"bodyBytes" cbor:"2,keyasint"`
	// HeaderTimeout bounds the time in which a request's head arrives.
	HeaderTimeout time.Duration `json:"headerTimeout" cbor:"3,keyasint"`
	// IdleTimeout is the time after which an idle connection is closed.
	IdleTimeout time.Duration `json:"idleTimeout" cbor:"4,keyasint"`
}

// Route sends the requests of one host below one path prefix to a service.
type Route struct {
	Name   string `json:"name" cbor:"1,keyasint"`
	Host   string `json:"host" cbor:"2,keyasint"`
	Prefix string `json:"prefix" cbor:"3,keyasint"`
	Kind   Kind   `json:"kind" cbor:"4,keyasint"`
	// Priority orders routes under overload; 0 is refused last.
	Priority int `json:"rank" cbor:"5,keyasint"`
	// LatencyObjective is the latency within which an answer has its full worth.
	LatencyObjective time.Duration `json:"objective" cbor:"6,keyasint"`
	// Timeout bounds the time a caller is kept waiting. Zero sets no bound.
	Timeout time.Duration `json:"timeout" cbor:"7,keyasint"`
	// Attempts bounds the targets that one request is sent to. Zero means one.
	Attempts     int               `json:"attempts" cbor:"8,keyasint"`
	Destinations []WeightedService `json:"parts" cbor:"9,keyasint"`
}

// WeightedService is a service's share of a route.
type WeightedService struct {
	Service string `json:"service" cbor:"1,keyasint"`
	// Weight is relative to the other parts of the route.
	Weight int `json:"weight" cbor:"2,keyasint"`
}

// Service describes the targets of one service.
type Service struct {
	Name string `json:"name" cbor:"1,keyasint"`
	// MaxConnections bounds the connections that one target accepts.
	MaxConnections int `json:"maxConnections" cbor:"2,keyasint"`
	// ColdPeriod is the time after its start in which a target is cold.
	ColdPeriod time.Duration `json:"coldPeriod" cbor:"3,keyasint"`
	// ColdRate is the number of requests per second that a cold target bears.
	// Zero sets no bound.
	ColdRate float64 `json:"coldRate" cbor:"4,keyasint"`
	// Sharded services are divided by key: a target runs a request only while
	// it holds the request's key.
	Sharded bool `json:"sharded" cbor:"5,keyasint"`
	// Warmup is the time for which keys are slow that arrive without a handover.
	Warmup time.Duration `json:"warmup" cbor:"6,keyasint"`
}

// Attempt bounds.
const (
	// MaxTimeout is the longest timeout of a route.
	MaxTimeout = 10 * time.Minute
	// MaxObjectiveExcess is how far an objective may lie above its timeout.
	MaxObjectiveExcess = time.Minute
)
