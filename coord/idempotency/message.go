package idempotency

import (
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

// RejectReason is the reason why a copy rejected a message. It is empty if the
// message was accepted.
type RejectReason string

const (
	// RejectStaleEpoch means that the copy has seen a higher epoch.
	RejectStaleEpoch RejectReason = "stale-epoch"
	// RejectIncomplete means that the copy does not have all records of the
	// unit, for example because its process restarted.
	RejectIncomplete RejectReason = "not-held"
	// RejectFull means that the memory bound of the copy is reached.
	RejectFull RejectReason = "full"
	// RejectInvalid means that no correct owner sends such a message.
	RejectInvalid RejectReason = "invalid"
)

// TransferID identifies one transfer of all records of a unit to a copy. Later
// transfers have greater ids.
type TransferID struct {
	Epoch uint64 `json:"epoch" cbor:"1,keyasint"`
	Seq   uint64 `json:"seq" cbor:"2,keyasint"`
}

func (t TransferID) less(o TransferID) bool {
	if t.Epoch != o.Epoch {
		return t.Epoch < o.Epoch
	}
	return t.Seq < o.Seq
}

// TransferStep is the role of a write within a transfer.
type TransferStep uint8

const (
	// TransferNone marks a write that is no step of a transfer. It carries the
	// record of a request, possibly while a transfer is in progress, or none.
	TransferNone TransferStep = iota
	// TransferBegin starts the transfer and discards the records of an earlier
	// unfinished one.
	TransferBegin
	// TransferChunk carries a part of the records.
	TransferChunk
	// TransferLast carries the last part. The copy has all records once it has
	// applied this write.
	TransferLast
)

// WriteRequest carries records from the owner to a copy.
type WriteRequest struct {
	// Seq identifies the write among the messages of an Owner. A retry has the
	// same Seq, and the reply repeats it.
	Seq   uint64         `json:"seq" cbor:"1,keyasint"`
	Unit  shard.Unit     `json:"unit" cbor:"2,keyasint"`
	Epoch uint64         `json:"epoch" cbor:"3,keyasint"`
	From  table.MemberID `json:"from" cbor:"4,keyasint"`
	// Incarnation is the copy's incarnation that the write is addressed to; zero
	// if the owner does not know it yet. A copy with another incarnation rejects
	// the write with RejectIncomplete.
	Incarnation uint64 `json:"incarnation,omitempty" cbor:"5,keyasint,omitempty"`
	// Transfer is the copy's transfer in progress; zero if there is none.
	Transfer TransferID   `json:"join,omitzero" cbor:"6,keyasint,omitempty"`
	Step     TransferStep `json:"step,omitempty" cbor:"7,keyasint,omitempty"`
	Records  []Record     `json:"records,omitempty" cbor:"8,keyasint,omitempty"`
	// LifetimeMs is the retention period of the unit's records, in ms.
	LifetimeMs int64 `json:"lifetimeMs" cbor:"9,keyasint"`
	// LostAtMs is when all records of the unit were lost, in Unix ms, or zero.
	LostAtMs int64 `json:"lostAtMs,omitempty" cbor:"10,keyasint,omitempty"`
}

// WriteReply answers a WriteRequest.
type WriteReply struct {
	Seq  uint64         `json:"seq" cbor:"1,keyasint"`
	Unit shard.Unit     `json:"unit" cbor:"2,keyasint"`
	From table.MemberID `json:"from" cbor:"3,keyasint"`
	// Incarnation is the incarnation of the copy that replies.
	Incarnation uint64 `json:"incarnation" cbor:"4,keyasint"`
	Accepted    bool   `json:"accepted" cbor:"5,keyasint"`
	// Epoch is the highest epoch that the copy has seen for the unit.
	Epoch  uint64       `json:"epoch" cbor:"6,keyasint"`
	Reason RejectReason `json:"problem,omitempty" cbor:"7,keyasint,omitempty"`
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
	// Incarnation is the incarnation of the copy that sent the previous page;
	// zero for the first page.
	Incarnation uint64 `json:"incarnation,omitempty" cbor:"6,keyasint,omitempty"`
}

// FetchReply is one page of records in ascending order of keys.
type FetchReply struct {
	Seq         uint64         `json:"seq" cbor:"1,keyasint"`
	Unit        shard.Unit     `json:"unit" cbor:"2,keyasint"`
	From        table.MemberID `json:"from" cbor:"3,keyasint"`
	Incarnation uint64         `json:"incarnation" cbor:"4,keyasint"`
	Epoch       uint64         `json:"epoch" cbor:"5,keyasint"`
	Reason      RejectReason   `json:"problem,omitempty" cbor:"6,keyasint,omitempty"`
	Records     []Record       `json:"records,omitempty" cbor:"7,keyasint,omitempty"`
	// Last is set on the last page.
	Last bool `json:"last,omitempty" cbor:"8,keyasint,omitempty"`
	// LostAtMs is when all records of the unit were lost, in Unix ms, or zero.
	LostAtMs int64 `json:"lostAtMs,omitempty" cbor:"9,keyasint,omitempty"`
}
