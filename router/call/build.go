package call

import (
	"net/http"
	"strconv"
	"time"
	"unicode/utf8"

	"bramleyquay.example/coord/admission"
	"bramleyquay.example/coord/config"
	"bramleyquay.example/coord/outcome"
	"bramleyquay.example/coord/shard"
)

const (
	// BufferedBodyBytes is the largest body that is kept for a repeat.
	BufferedBodyBytes = 64 << 10
	// maxKeyBytes bounds keys and idempotency keys.
	maxKeyBytes = 512
)

// Identity identify a call: what a caller or a peer gave in path and headers.
type Identity struct {
	Service        string
	Key            string
	IdempotencyKey string
	// Path and RawPath are the target's path.
	Path    string
	RawPath string
}

// Build makes a call from a request and the configured document. It refuses
// what breaks a rule of the service. The body is left to Receive.
func Build(doc *config.Document, n Identity, r *http.Request) (*Call, *outcome.Refusal) {
	if doc == nil {
		return nil, outcome.NewNotRun(outcome.ReasonNoControl, "no configuration has arrived yet")
	}
	s := doc.Service(n.Service)
	if s == nil {
		return nil, UnknownService(n.Service)
	}
	// http.Transport repeats a TRACE on a broken connection, and CONNECT would
	// turn the connection to the target into a tunnel.
	if r.Method == http.MethodConnect || r.Method == http.MethodTrace {
		return nil, outcome.NewNotRun(outcome.ReasonBadRequest, "the method "+r.Method+" is not passed on")
	}
	c := &Call{
		Service: s.Name, Method: r.Method,
		Path: n.Path, RawPath: n.RawPath, Query: r.URL.RawQuery,
		Header: r.Header, Body: r.Body, Length: r.ContentLength,
	}
	if refusal := setNames(c, s, n); refusal != nil {
		return nil, refusal
	}
	if refusal := setTimes(c, s, r.Header); refusal != nil {
		return nil, refusal
	}
	return c, nil
}

// UnknownService refuses a call to a service that the caller cannot reach.
func UnknownService(name string) *outcome.Refusal {
	return outcome.NewNotRun(outcome.ReasonNoService, "no service is named "+strconv.Quote(name))
}

// setNames fills class, key, idempotency key and key space.
func setNames(c *Call, s *config.Service, n Identity) *outcome.Refusal {
	if len(n.Key) > maxKeyBytes || len(n.IdempotencyKey) > maxKeyBytes {
		return outcome.NewNotRun(outcome.ReasonBadRequest, "a key is longer than 512 bytes")
	}
	// Records travel as JSON, which replaces invalid bytes: a copy would hold
	// such a payment under another key, and a new owner would run it again.
	if !utf8.ValidString(n.Key) || !utf8.ValidString(n.IdempotencyKey) {
		return outcome.NewNotRun(outcome.ReasonBadRequest, "a key is not valid UTF-8")
	}
	c.Key = n.Key
	if s.Payments && !IdempotentMethod(c.Method) {
		if n.IdempotencyKey == "" {
			return outcome.NewNotRun(outcome.ReasonBadRequest, "this service needs an Idempotency-Key header")
		}
		c.Class, c.IdempotencyKey = admission.Payment, n.IdempotencyKey
	} else {
		c.IdempotencyKey = n.IdempotencyKey
	}
	unitKey := ""
	switch {
	case s.Keyed && n.Key == "":
		return outcome.NewNotRun(outcome.ReasonBadRequest, "this service is divided by key and needs a Bq-Key header")
	case s.Keyed:
		unitKey = n.Key
	case c.Payment():
		unitKey = n.IdempotencyKey
	default:
		return nil
	}
	keyspace, ok := s.KeyspaceOf(unitKey)
	if !ok {
		return outcome.NewNotRun(outcome.ReasonNoRule, "no rule of the service covers the key")
	}
	c.Keyspace, c.Hash = keyspace, shard.Hash(unitKey)
	return nil
}

// setTimes fills the deadline and the time of issue.
func setTimes(c *Call, s *config.Service, h http.Header) *outcome.Refusal {
	full := s.WithDefaults()
	timeoutMs := full.Limits.TimeoutMs
	if v := h.Get(HeaderTimeout); v != "" {
		ms, err := strconv.ParseInt(v, 10, 64)
		if err != nil || ms <= 0 {
			return outcome.NewNotRun(outcome.ReasonBadRequest, "Bq-Timeout-Ms is not a positive number of milliseconds")
		}
		timeoutMs = min(ms, full.Limits.MaxTimeoutMs)
	}
	c.Deadline = time.Now().Add(time.Duration(timeoutMs) * time.Millisecond)
	if v := h.Get(HeaderIssuedAt); v != "" {
		ms, err := strconv.ParseInt(v, 10, 64)
		if err != nil || ms <= 0 {
			return outcome.NewNotRun(outcome.ReasonBadRequest, "Bq-Issued-At is not a time in Unix milliseconds")
		}
		c.IssuedAtMs = ms
	}
	return nil
}
