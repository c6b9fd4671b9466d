package control

import (
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

// Assignment makes a member the owner of a unit without an owner.
type Assignment struct {
	Unit shard.Unit `json:"unit" cbor:"1,keyasint"`
	// Epoch is the unit's epoch when the assignment was planned.
	// DeclareMembersLost ignores it, because the loss itself raises the epoch.
	Epoch uint64         `json:"epoch,omitempty" cbor:"2,keyasint,omitempty"`
	To    table.MemberID `json:"to" cbor:"3,keyasint"`
	// Join lists members that become syncing copies.
	Join []table.MemberID `json:"join,omitempty" cbor:"4,keyasint,omitempty"`
}

// Assign assigns units without an owner to members. Assignments with an old
// epoch or an unsuitable member are skipped.
type Assign struct {
	Assignments []Assignment `json:"assignments" cbor:"1,keyasint"`
}

// BeginMove starts the move of a unit to member To. The owner stops serving the
// unit and then reports the release. ChangeID and Author are set for an
// operator's move.
type BeginMove struct {
	Unit     shard.Unit     `json:"unit" cbor:"1,keyasint"`
	Epoch    uint64         `json:"epoch" cbor:"2,keyasint"`
	To       table.MemberID `json:"to" cbor:"3,keyasint"`
	ChangeID string         `json:"changeId,omitempty" cbor:"4,keyasint,omitempty"`
	Author   string         `json:"author,omitempty" cbor:"5,keyasint,omitempty"`
}

// FinishMove makes the receiver of a move the owner of the released unit.
type FinishMove struct {
	Unit  shard.Unit `json:"unit" cbor:"1,keyasint"`
	Epoch uint64     `json:"epoch" cbor:"2,keyasint"`
}

// CancelMove lets the owner of a moving unit serve it again. The epoch rises, so
// that a release which was already reported has no effect.
type CancelMove struct {
	Unit     shard.Unit `json:"unit" cbor:"1,keyasint"`
	Epoch    uint64     `json:"epoch" cbor:"2,keyasint"`
	ChangeID string     `json:"changeId,omitempty" cbor:"3,keyasint,omitempty"`
	Author   string     `json:"author,omitempty" cbor:"4,keyasint,omitempty"`
}

// ChangeCopies removes the record copies in Drop from a unit and adds those in
// Join as syncing copies.
type ChangeCopies struct {
	Unit  shard.Unit       `json:"unit" cbor:"1,keyasint"`
	Epoch uint64           `json:"epoch" cbor:"2,keyasint"`
	Drop  []table.MemberID `json:"drop,omitempty" cbor:"3,keyasint,omitempty"`
	Join  []table.MemberID `json:"join,omitempty" cbor:"4,keyasint,omitempty"`
}

// SplitKey creates a unit for one hot key. Its first owner is the owner of the
// shard. It is refused in key spaces with record copies and while the shard is not
// served.
type SplitKey struct {
	Keyspace string `json:"keyspace" cbor:"1,keyasint"`
	Hash     uint64 `json:"hash" cbor:"2,keyasint"`
	ChangeID string `json:"changeId,omitempty" cbor:"3,keyasint,omitempty"`
	Author   string `json:"author,omitempty" cbor:"4,keyasint,omitempty"`
}

// MergeKey merges a split key back into its shard. Both must have the same owner.
type MergeKey struct {
	Unit     shard.Unit `json:"unit" cbor:"1,keyasint"`
	ChangeID string     `json:"changeId,omitempty" cbor:"2,keyasint,omitempty"`
	Author   string     `json:"author,omitempty" cbor:"3,keyasint,omitempty"`
}

// ClearRecordsLost ends the time in which the payments of a unit are answered
// with outcome unknown because its idempotency records were lost.
type ClearRecordsLost struct {
	Unit shard.Unit `json:"unit" cbor:"1,keyasint"`
	// Since is the table revision of the loss; 0 clears it whatever its
	// revision.
	Since    uint64 `json:"since,omitempty" cbor:"2,keyasint,omitempty"`
	ChangeID string `json:"changeId,omitempty" cbor:"3,keyasint,omitempty"`
	Author   string `json:"author,omitempty" cbor:"4,keyasint,omitempty"`
}
