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
	// BufferedBodyBytes is the largest body that is buffered so that the request
	// can be retried.
	BufferedBodyBytes = 64 << 10
	// maxKeyBytes bounds the length of a key and of an idempotency key.
	maxKeyBytes = 512
)

// Identity is the part of a caller's or peer's path and headers that decides
// which service, key and payment a call belongs to.
type Identity struct {
	Service        string
	Key            string
	IdempotencyKey string
	// Path and RawPath are the path that the target receives.
	Path    string
	RawPath string
}

// Build returns the call of a request to a service in doc, or a refusal with outcome
// not-run if doc is nil, the service is unknown or the request breaks one of its
// rules. It parses the headers only; Receive reads the body.
func Build(doc *config.Document, id Identity, r *http.Request) (*Call, *outcome.Refusal) {
	if doc == nil {
		return nil, outcome.NewNotRun(outcome.ReasonNoControl, "no configuration has arrived yet")
	}
	s := doc.Service(id.Service)
	if s == nil {
		return nil, UnknownService(id.Service)
	}
	// http.Transport retries a TRACE on a broken connection, and CONNECT would
	// turn the connection to the target into a tunnel.
	if r.Method == http.MethodConnect || r.Method == http.MethodTrace {
		return nil, outcome.NewNotRun(outcome.ReasonBadRequest, "the method "+r.Method+" is not passed on")
	}
	c := &Call{
		Service: s.Name, Method: r.Method,
		Path: id.Path, RawPath: id.RawPath, Query: r.URL.RawQuery,
		Header: r.Header, Body: r.Body, Length: r.ContentLength,
	}
	if refusal := setKeys(c, s, id); refusal != nil {
		return nil, refusal
	}
	if refusal := setTimes(c, s, r.Header); refusal != nil {
		return nil, refusal
	}
	return c, nil
}

// UnknownService returns the refusal of a call to a service that does not exist or
// that the caller may not use.
func UnknownService(name string) *outcome.Refusal {
	return outcome.NewNotRun(outcome.ReasonNoService, "no service is named "+strconv.Quote(name))
}

// setKeys sets the call's class, key, idempotency key, key space and hash.
func setKeys(c *Call, s *config.Service, id Identity) *outcome.Refusal {
	if len(id.Key) > maxKeyBytes || len(id.IdempotencyKey) > maxKeyBytes {
		return outcome.NewNotRun(outcome.ReasonBadRequest, "a key is longer than 512 bytes")
	}
	// Idempotency records are replicated as JSON, which replaces invalid UTF-8. A
	// copy would store the payment under another key, and a new owner would run
	// it again.
	if !utf8.ValidString(id.Key) || !utf8.ValidString(id.IdempotencyKey) {
		return outcome.NewNotRun(outcome.ReasonBadRequest, "a key is not valid UTF-8")
	}
	c.Key = id.Key
	if s.Payments && !IdempotentMethod(c.Method) {
		if id.IdempotencyKey == "" {
			return outcome.NewNotRun(outcome.ReasonBadRequest, "this service needs an Idempotency-Key header")
		}
		c.Class, c.IdempotencyKey = admission.Payment, id.IdempotencyKey
	} else {
		c.IdempotencyKey = id.IdempotencyKey
	}
	unitKey := ""
	switch {
	case s.Keyed && id.Key == "":
		return outcome.NewNotRun(outcome.ReasonBadRequest, "this service is divided by key and needs a Bq-Key header")
	case s.Keyed:
		unitKey = id.Key
	case c.Payment():
		unitKey = id.IdempotencyKey
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

// setTimes sets the call's deadline and the time at which the payment was issued. The
// time-out is that of the header Bq-Timeout-Ms, but at most the service's
// maxTimeoutMs; without the header it is the service's timeoutMs.
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
