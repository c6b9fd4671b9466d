package control

import (
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

// Assignment gives a unit without owner to a member.
type Assignment struct {
	Unit shard.Unit `json:"unit" cbor:"1,keyasint"`
	// Epoch is the unit's epoch when the assignment was planned. DeclareMembersLost
	// ignores it, because the loss itself raises the epoch.
	Epoch uint64         `json:"epoch,omitempty" cbor:"2,keyasint,omitempty"`
	To    table.MemberID `json:"to" cbor:"3,keyasint"`
	// Join lists new record copies.
	Join []table.MemberID `json:"join,omitempty" cbor:"4,keyasint,omitempty"`
}

// Assign gives units without owner to members. Assignments that no longer fit
// are skipped.
type Assign struct {
	Assignments []Assignment `json:"assignments" cbor:"1,keyasint"`
}

// BeginMove records the intent to move a unit. The owner stops serving it and
// reports the release. ChangeID and Author are set for an operator's move.
type BeginMove struct {
	Unit     shard.Unit     `json:"unit" cbor:"1,keyasint"`
	Epoch    uint64         `json:"epoch" cbor:"2,keyasint"`
	To       table.MemberID `json:"to" cbor:"3,keyasint"`
	ChangeID string         `json:"changeId,omitempty" cbor:"4,keyasint,omitempty"`
	Author   string         `json:"author,omitempty" cbor:"5,keyasint,omitempty"`
}

// FinishMove gives a released unit to its next owner.
type FinishMove struct {
	Unit  shard.Unit `json:"unit" cbor:"1,keyasint"`
	Epoch uint64     `json:"epoch" cbor:"2,keyasint"`
}

// CancelMove lets the owner of a moving unit serve it again, at a higher
// epoch so that a release that was reported already has no effect.
type CancelMove struct {
	Unit     shard.Unit `json:"unit" cbor:"1,keyasint"`
	Epoch    uint64     `json:"epoch" cbor:"2,keyasint"`
	ChangeID string     `json:"changeId,omitempty" cbor:"3,keyasint,omitempty"`
	Author   string     `json:"author,omitempty" cbor:"4,keyasint,omitempty"`
}

// ChangeCopies removes and adds record copies of a unit.
type ChangeCopies struct {
	Unit  shard.Unit       `json:"unit" cbor:"1,keyasint"`
	Epoch uint64           `json:"epoch" cbor:"2,keyasint"`
	Drop  []table.MemberID `json:"drop,omitempty" cbor:"3,keyasint,omitempty"`
	Join  []table.MemberID `json:"join,omitempty" cbor:"4,keyasint,omitempty"`
}

// SplitKey makes a unit of one hot key. Its first owner is the shard's owner.
type SplitKey struct {
	Keyspace string `json:"keyspace" cbor:"1,keyasint"`
	Hash     uint64 `json:"hash" cbor:"2,keyasint"`
	ChangeID string `json:"changeId,omitempty" cbor:"3,keyasint,omitempty"`
	Author   string `json:"author,omitempty" cbor:"4,keyasint,omitempty"`
}

// MergeKey returns a split key to its shard. Both must have the same owner.
type MergeKey struct {
	Unit     shard.Unit `json:"unit" cbor:"1,keyasint"`
	ChangeID string     `json:"changeId,omitempty" cbor:"2,keyasint,omitempty"`
	Author   string     `json:"author,omitempty" cbor:"3,keyasint,omitempty"`
}

// ClearRecordsLost ends the time in which a unit answers unknown because its
// records were lost.
type ClearRecordsLost struct {
	Unit shard.Unit `json:"unit" cbor:"1,keyasint"`
	// Since is the table revision of the loss; 0 clears any loss.
	Since    uint64 `json:"since,omitempty" cbor:"2,keyasint,omitempty"`
	ChangeID string `json:"changeId,omitempty" cbor:"3,keyasint,omitempty"`
	Author   string `json:"author,omitempty" cbor:"4,keyasint,omitempty"`
}
