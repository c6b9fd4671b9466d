// Package correlation decides which requests a connection may carry, so that each response
// on it is known to belong to its request. A server may send a response a second time,
// late, where the response to the next request is expected.
package correlation

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxRequests bounds the requests of one connection, and with it the memory for their ids.
const maxRequests = 512

// Connection is what is known about the requests of one connection, of which one is in
// progress at a time. Decisions take less than 1 µs. It is not safe for concurrent use.
type Connection struct {
	// used are hashes of the ids of the requests so far.
	used []uint64
	// unproven is set after a response that nothing but its place on the connection
	// attributes to its request. Its copy could be taken for a later response.
	unproven bool
}

// Verdict says what a response is.
type Verdict int

const (
	// Accepted responses belong to the request.
	Accepted Verdict = iota
	// Foreign responses belong to an earlier request. The next response may belong to
	// this one.
	Foreign
	// Unattributed responses may belong to any request.
	Unattributed
)

// Accepts reports whether the connection may carry a request with an id, which is empty
// for requests without one: the first request may be any, a later one must have an id that
// no earlier one has had, because a copy of the response to that one would have it too.
func (c *Connection) Accepts(id string) bool {
	return len(c.used) == 0 || id != "" && !c.IsSpent() && !slices.Contains(c.used, xxhash.Sum64String(id))
}

// IsSpent reports whether the connection may carry no further request.
func (c *Connection) IsSpent() bool { return c.unproven || len(c.used) >= maxRequests }

// Start records that a request is sent, which Accepts must have accepted.
func (c *Connection) Start(id string) { c.used = append(c.used, xxhash.Sum64String(id)) }

// Judge decides about a response with an id, empty if it has none, while the request with
// requestID is in progress.
func (c *Connection) Judge(requestID, responseID string) Verdict {
	switch {
	case requestID != "" && responseID == requestID:
		return Accepted
	case requestID != "" && responseID != "":
		return Foreign
	case len(c.used) == 1:
		c.unproven = true
		return Accepted
	}
	return Unattributed
}
