package idempotency

import (
	"bramleyquay.example/coord/outcome"
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

// Action is something that the process has to do for an Owner: Dispatch,
// Reply, Refuse, Write, Fetch, Synced, Ready or Released.
type Action interface{ action() }

// Dispatch asks the process to pass the request to its target after a last
// check of limits, lease and epoch. The process answers with exactly one of
// Owner.NotDispatched, Owner.Finished and Owner.ResponseLost.
type Dispatch struct{ ID uint64 }

// Reply answers a request.
type Reply struct {
	ID       uint64
	Response *Response
	// Replayed means that another request with the same key ran.
	Replayed bool
}

// Refuse answers a request without a target's response.
type Refuse struct {
	ID      uint64
	Refusal *outcome.Refusal
}

// Write sends records to a copy. The process answers with Owner.Acked or
// Owner.WriteFailed; without an answer the Owner repeats the write.
type Write struct {
	To table.MemberID
	WriteRequest
}

// Fetch reads records from a copy. The process answers with Owner.Fetched or
// Owner.FetchFailed.
type Fetch struct {
	From table.MemberID
	FetchRequest
}

// Synced reports that a joining copy holds all records of the unit. It is
// repeated until the copy is no longer joining.
type Synced struct {
	Unit  shard.Unit
	Epoch uint64
	Copy  table.MemberID
}

// Ready reports that the owner holds all records of the unit and serves it.
type Ready struct {
	Unit  shard.Unit
	Epoch uint64
}

// Released hands over the records of a unit that is no longer owned. The
// process passes Records to CopyStore.Attach, so that the next owner can read them.
type Released struct{ Records *UnitRecords }

func (Dispatch) action() {}
func (Reply) action()    {}
func (Refuse) action()   {}
func (Write) action()    {}
func (Fetch) action()    {}
func (Synced) action()   {}
func (Ready) action()    {}
func (Released) action() {}
