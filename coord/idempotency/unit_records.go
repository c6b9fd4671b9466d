package idempotency

import "bramleyquay.example/coord/shard"

// UnitRecords is all records of a unit, passed between the CopyStore and the Owner
// of one process. The records are not copied, so a UnitRecords is used only once.
type UnitRecords struct {
	Unit shard.Unit
	// Epoch is the epoch at which the records were detached or released.
	Epoch uint64
	store *store
}

// Len returns the number of records.
func (u *UnitRecords) Len() int { return len(u.store.records) }
