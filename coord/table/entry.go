package table

import (
	"slices"

	"bramleyquay.example/coord/shard"
)

// Entry is the ownership of one unit at one table revision. Entries are
// immutable once they are part of a Table.
type Entry struct {
	Unit  shard.Unit `json:"unit" cbor:"1,keyasint"`
	Owner MemberID   `json:"owner,omitempty" cbor:"2,keyasint,omitempty"`
	// Epoch increases with every change of owner or copies, when a move ends or is
	// cancelled, when the unit is taken out of service or returns, and when a split
	// key is merged into the shard. The start of a move does not change it.
	Epoch uint64 `json:"epoch" cbor:"3,keyasint"`
	Phase Phase  `json:"phase" cbor:"4,keyasint"`
	// NextOwner is the member that becomes the owner while Phase is Moving.
	NextOwner MemberID `json:"next,omitempty" cbor:"5,keyasint,omitempty"`
	// Copies are the members other than the owner that have every idempotency
	// record of the unit. The owner writes new records to all of them.
	Copies []MemberID `json:"copies,omitempty" cbor:"6,keyasint,omitempty"`
	// SyncingCopies are members that do not have all records yet. The owner sends
	// them the existing records and writes new ones to them as well.
	SyncingCopies []MemberID `json:"joining,omitempty" cbor:"7,keyasint,omitempty"`
	// Sources are the members that have every record of the unit. A new owner that
	// is not among them reads the records from one of them before it serves, and
	// then reports that it is synced. Sources is empty if no copy survived or the
	// unit never had records.
	Sources []MemberID `json:"sources,omitempty" cbor:"8,keyasint,omitempty"`
	// RecordsLost means that every member with the unit's records was lost.
	RecordsLost bool `json:"recordsLost,omitempty" cbor:"9,keyasint,omitempty"`
	// Removed marks a deletion in a Delta: a split key that was merged back into
	// its shard.
	Removed bool `json:"removed,omitempty" cbor:"10,keyasint,omitempty"`
}

// HasCopy reports whether m is a copy that has all records.
func (e *Entry) HasCopy(m MemberID) bool { return slices.Contains(e.Copies, m) }

// HasMember reports whether m is the owner, a copy or a syncing copy.
func (e *Entry) HasMember(m MemberID) bool {
	return e.Owner == m || e.HasCopy(m) || slices.Contains(e.SyncingCopies, m)
}

// AwaitsSync reports whether the entry would change if m reported that it has all
// records of the unit: m is a syncing copy, or an owner that has to read the
// records and has not yet reported that it has.
func (e *Entry) AwaitsSync(m MemberID) bool {
	if m == e.Owner {
		return len(e.Sources) > 0 && !slices.Contains(e.Sources, m)
	}
	return slices.Contains(e.SyncingCopies, m)
}
