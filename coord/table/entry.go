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
	// Epoch rises with every change of owner or copies.
	Epoch uint64 `json:"epoch" cbor:"3,keyasint"`
	Phase Phase  `json:"phase" cbor:"4,keyasint"`
	// NextOwner is the receiving member while Phase is Moving.
	NextOwner MemberID `json:"next,omitempty" cbor:"5,keyasint,omitempty"`
	// Copies hold every record of the unit; the owner writes to all of them.
	Copies []MemberID `json:"copies,omitempty" cbor:"6,keyasint,omitempty"`
	// SyncingCopies copies are being filled by the owner and are written to as well.
	SyncingCopies []MemberID `json:"joining,omitempty" cbor:"7,keyasint,omitempty"`
	// Sources hold every record of the unit. A new owner that is not among
	// them reads from one of them before it serves, and reports itself as
	// synced then. Empty means that no copy survived or that the unit never had
	// records.
	Sources []MemberID `json:"sources,omitempty" cbor:"8,keyasint,omitempty"`
	// RecordsLost means that every holder of the unit's records was lost.
	RecordsLost bool `json:"recordsLost,omitempty" cbor:"9,keyasint,omitempty"`
	// Removed marks a deletion in a Delta: a split key that was merged back.
	Removed bool `json:"removed,omitempty" cbor:"10,keyasint,omitempty"`
}

// HasCopy reports whether m is an in-sync copy.
func (e *Entry) HasCopy(m MemberID) bool { return slices.Contains(e.Copies, m) }

// HasMember reports whether m is owner, copy or joining copy.
func (e *Entry) HasMember(m MemberID) bool {
	return e.Owner == m || e.HasCopy(m) || slices.Contains(e.SyncingCopies, m)
}

// AwaitsSync reports whether a report that m holds all records of the unit
// would change the entry: m is a joining copy, or an owner that is not known to
// have read the records.
func (e *Entry) AwaitsSync(m MemberID) bool {
	if m == e.Owner {
		return len(e.Sources) > 0 && !slices.Contains(e.Sources, m)
	}
	return slices.Contains(e.SyncingCopies, m)
}
