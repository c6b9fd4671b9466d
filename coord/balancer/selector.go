// Package balancer selects the target of a request for services that are not
// sharded by key. Balancer is the policy in use; the other Selectors are the
// baselines it is measured against.
//
// A Selector is not safe for concurrent use.
package balancer

import (
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/table"
)

// Target is one target of the service.
type Target struct {
	ID         table.MemberID
	DataCentre string
	// Slots is the number of requests that the target runs at once.
	Slots int
	// Draining targets get no new request.
	Draining bool
}

// ResultKind is how a request at a target ended.
type ResultKind uint8

const (
	// OK is a complete answer.
	OK ResultKind = iota
	// Refused is a refusal before the request ran. It says nothing about the
	// target's speed.
	Refused
	// Failed is a broken or missing answer.
	Failed
	// Cancelled is a request that this side gave up, such as the slower one of
	// a hedged pair.
	Cancelled
)

// GateLoad is the state that a gate adds to its answers, in requests.
type GateLoad struct {
	Running, Limit, Queued int
}

// Result is what this process saw of one request.
type Result struct {
	// Latency is the time from Started to the end as seen by this process.
	Latency time.Duration
	Kind    ResultKind
	// Load is the gate's state if the answer carried one. It is advisory.
	Load *GateLoad
}

// Selector selects targets.
type Selector interface {
	// SetTargets replaces the targets; what is known of those that stay is kept.
	SetTargets(now clock.Reading, targets []Target)
	// Pick selects a target that is neither draining nor excluded, or returns
	// false if there is none.
	Pick(now clock.Reading, exclude ...table.MemberID) (table.MemberID, bool)
	// Started reports that a request was sent to the target.
	Started(now clock.Reading, id table.MemberID)
	// Finished reports the end of a request for which Started was called.
	Finished(now clock.Reading, id table.MemberID, r Result)
}
