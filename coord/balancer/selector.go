// Package balancer balances the load of services that are not sharded by key: it
// selects the target of each request. Balancer is the policy that the router
// uses; Baseline holds simple policies to compare it with. Both modes of the router
// use the package. A gate is the role that checks ownership and limits right before
// a target, and refuses requests above the limit.
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
	// Slots is the largest number of requests that the target runs at once.
	Slots int
	// Draining targets get no new requests.
	Draining bool
	// Weight is the last known weight of the target's quality, in eighths; 0 means 8.
	// A weight in a later report of its gate replaces it.
	Weight int
}

// ResultKind states how a request to a target ended.
type ResultKind uint8

const (
	// OK is a complete answer.
	OK ResultKind = iota
	// Refused is a refusal before the request ran. It says nothing about the
	// target's speed.
	Refused
	// Failed is a broken or missing answer.
	Failed
	// Cancelled is a request that this process cancelled, such as the slower one
	// of a hedged pair.
	Cancelled
)

// GateLoad is the load that a gate reports in its answers, in requests. Limit is
// the number that it lets run at once. Weight is the weight of the target's quality, in
// eighths; 0 means 8.
type GateLoad struct {
	Running, Limit, Queued int
	Weight                 int
}

// Result describes the end of one request.
type Result struct {
	// Latency is the time from Started to the end, measured by this process.
	Latency time.Duration
	Kind    ResultKind
	// Load is the gate's report, or nil if the answer had none. It may be late or
	// wrong.
	Load *GateLoad
	// NoWait says that the request was to start at once or to be refused.
	NoWait bool
}

// Selector selects the target of each request. Its methods do not block.
type Selector interface {
	// SetTargets replaces the targets. The state of those that stay is retained.
	SetTargets(now clock.Reading, targets []Target)
	// Pick selects a target that is neither draining nor excluded. It returns
	// false if there is none.
	Pick(now clock.Reading, exclude ...table.MemberID) (table.MemberID, bool)
	// Started reports that a request was sent to the target.
	Started(now clock.Reading, id table.MemberID)
	// Finished reports the end of a request for which Started was called.
	Finished(now clock.Reading, id table.MemberID, r Result)
}
