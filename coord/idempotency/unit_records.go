package idempotency

import "bramleyquay.example/coord/shard"

// UnitRecords is all records of a unit on their way between the CopyStore and the Owner of
// one process. The records are not copied: a UnitRecords is used once.
type UnitRecords struct {
	Unit shard.Unit
	// Epoch is the highest epoch known to the previous holder.
	Epoch uint64
	store *store
}

// Len returns the number of records.
func (h *UnitRecords) Len() int { return len(h.store.records) }
