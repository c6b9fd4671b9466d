package idempotency

import (
	"bramleyquay.example/coord/outcome"
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

// Action is an instruction of an Owner to its process: Dispatch, Reply, Refuse,
// Write, Fetch, Synced, Ready or Released.
type Action interface{ action() }

// Dispatch asks the process to send the request to its target after a last
// check of limits, lease and epoch. The process then calls exactly one of
// Owner.NotDispatched, Owner.Finished and Owner.ResponseLost. The Owner ignores
// results of requests that are not dispatched.
type Dispatch struct{ ID uint64 }

// Reply answers a request with a target's response.
type Reply struct {
	ID       uint64
	Response *Response
	// Replayed means that Response is the response to another request with the
	// same key.
	Replayed bool
}

// Refuse answers a request with a refusal instead of a target's response.
type Refuse struct {
	ID      uint64
	Refusal *outcome.Refusal
}

// Write sends records to a copy. The process passes the reply to Owner.Acked, or
// calls Owner.WriteFailed if there is none. A write without reply is retried after
// Config.WriteTimeout, except the one that reports to a copy that a request was
// not dispatched, which is sent only once.
type Write struct {
	To table.MemberID
	WriteRequest
}

// Fetch reads records from a copy. The process reports the result with
// Owner.Fetched or Owner.FetchFailed.
type Fetch struct {
	From table.MemberID
	FetchRequest
}

// Synced reports that a syncing copy has received all records of the unit. It is
// repeated until the copy is no longer assigned as a syncing one.
type Synced struct {
	Unit  shard.Unit
	Epoch uint64
	Copy  table.MemberID
}

// Ready reports that the owner has all records of the unit and serves requests.
type Ready struct {
	Unit  shard.Unit
	Epoch uint64
}

// Released returns the records of a unit that this member no longer owns. The
// process passes Records to CopyStore.Attach, so that the next owner can fetch
// them.
type Released struct{ Records *UnitRecords }

func (Dispatch) action() {}
func (Reply) action()    {}
func (Refuse) action()   {}
func (Write) action()    {}
func (Fetch) action()    {}
func (Synced) action()   {}
func (Ready) action()    {}
func (Released) action() {}
