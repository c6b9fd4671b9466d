package idempotency

import (
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

// RejectReason is why a copy rejected a message.
type RejectReason string

const (
	// ProblemStale means that the copy has seen a higher epoch.
	ProblemStale RejectReason = "stale-epoch"
	// ProblemNotHeld means that the copy does not hold all records of the
	// unit, for example because its process restarted.
	ProblemNotHeld RejectReason = "not-held"
	// ProblemFull means that the copy's memory bound is reached.
	ProblemFull RejectReason = "full"
	// ProblemInvalid means that no owner can have written the message.
	ProblemInvalid RejectReason = "invalid"
)

// TransferID identifies one transfer of all records of a unit to a copy. Later
// transfers have greater ids.
type TransferID struct {
	Epoch uint64 `json:"epoch" cbor:"1,keyasint"`
	Seq   uint64 `json:"seq" cbor:"2,keyasint"`
}

func (j TransferID) less(o TransferID) bool {
	if j.Epoch != o.Epoch {
		return j.Epoch < o.Epoch
	}
	return j.Seq < o.Seq
}

// TransferStep is the role of a write within a transfer.
type TransferStep uint8

const (
	// TransferNone marks a write outside of the transfer.
	TransferNone TransferStep = iota
	// TransferBegin discards what the copy holds and starts the transfer.
	TransferBegin
	// TransferChunk carries a part of the records.
	TransferChunk
	// TransferLast carries the last part. The copy is complete once it applied it.
	TransferLast
)

// WriteRequest carries records from the owner to a copy.
type WriteRequest struct {
	Seq   uint64         `json:"seq" cbor:"1,keyasint"`
	Unit  shard.Unit     `json:"unit" cbor:"2,keyasint"`
	Epoch uint64         `json:"epoch" cbor:"3,keyasint"`
	From  table.MemberID `json:"from" cbor:"4,keyasint"`
	// Incarnation is the process that the write is meant for; zero if the
	// owner does not know it yet.
	Incarnation uint64       `json:"incarnation,omitempty" cbor:"5,keyasint,omitempty"`
	Transfer    TransferID   `json:"join,omitzero" cbor:"6,keyasint,omitempty"`
	Step        TransferStep `json:"step,omitempty" cbor:"7,keyasint,omitempty"`
	Records     []Record     `json:"records,omitempty" cbor:"8,keyasint,omitempty"`
	// LifetimeMs is how long the copy keeps the unit's records.
	LifetimeMs int64 `json:"lifetimeMs" cbor:"9,keyasint"`
	// LostAtMs is when all records of the unit were lost, in Unix ms, or zero.
	LostAtMs int64 `json:"lostAtMs,omitempty" cbor:"10,keyasint,omitempty"`
}

// WriteReply answers a WriteRequest.
type WriteReply struct {
	Seq  uint64         `json:"seq" cbor:"1,keyasint"`
	Unit shard.Unit     `json:"unit" cbor:"2,keyasint"`
	From table.MemberID `json:"from" cbor:"3,keyasint"`
	// Incarnation is the process that answers.
	Incarnation uint64 `json:"incarnation" cbor:"4,keyasint"`
	Accepted    bool   `json:"accepted" cbor:"5,keyasint"`
	// Epoch is the highest epoch that the copy has seen for the unit.
	Epoch   uint64       `json:"epoch" cbor:"6,keyasint"`
	Problem RejectReason `json:"problem,omitempty" cbor:"7,keyasint,omitempty"`
}

// FetchRequest asks a copy for the records of a unit, on behalf of the owner
// at Epoch. The copy accepts no write of a lower epoch afterwards.
type FetchRequest struct {
	Seq   uint64         `json:"seq" cbor:"1,keyasint"`
	Unit  shard.Unit     `json:"unit" cbor:"2,keyasint"`
	Epoch uint64         `json:"epoch" cbor:"3,keyasint"`
	Owner table.MemberID `json:"owner" cbor:"4,keyasint"`
	// After is the last key of the previous page, or empty for the first page.
	After string `json:"after,omitempty" cbor:"5,keyasint,omitempty"`
	// Incarnation is the process that sent the previous page.
	Incarnation uint64 `json:"incarnation,omitempty" cbor:"6,keyasint,omitempty"`
}

// FetchReply is one page of records in ascending order of keys.
type FetchReply struct {
	Seq         uint64         `json:"seq" cbor:"1,keyasint"`
	Unit        shard.Unit     `json:"unit" cbor:"2,keyasint"`
	From        table.MemberID `json:"from" cbor:"3,keyasint"`
	Incarnation uint64         `json:"incarnation" cbor:"4,keyasint"`
	Epoch       uint64         `json:"epoch" cbor:"5,keyasint"`
	Problem     RejectReason   `json:"problem,omitempty" cbor:"6,keyasint,omitempty"`
	Records     []Record       `json:"records,omitempty" cbor:"7,keyasint,omitempty"`
	// Last is set on the last page.
	Last     bool  `json:"last,omitempty" cbor:"8,keyasint,omitempty"`
	LostAtMs int64 `json:"lostAtMs,omitempty" cbor:"9,keyasint,omitempty"`
}
