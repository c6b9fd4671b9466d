package idempotency

import (
	"slices"
	"time"

	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

// Assignment is what the ownership table says about a unit of this member.
type Assignment struct {
	Unit  shard.Unit
	Epoch uint64
	// Copies hold all records; Joining copies are to be filled.
	Copies  []Member
	Joining []Member
	// Sources held all records at the previous epoch: its copies in sync, and
	// its owner if that one reported Ready. If the previous epoch had no copy
	// in sync, nothing was dispatched at it, and its own sources still hold
	// all records. Where it had one, its sources may lack records, whether or
	// not its owner's Ready has reached control.
	Sources []Member
	// RecordsLost means that all holders of the records were lost. Requests
	// are then answered unknown until Lifetime has passed.
	RecordsLost bool
	// NeverSynced means that no copy of the unit was ever reported Synced. The unit
	// has no records then, because a request needs a copy in sync. It ends
	// with the first Synced, not with the first owner: control cannot know
	// whether an owner that it lost had begun to serve. All copies of a fresh
	// unit count as joining, and its sources need not hold anything.
	NeverSynced bool
	// Lifetime is how long records are kept; zero selects the default.
	Lifetime time.Duration
	// LocalRecords is what CopyStore.Detach returned for the unit, or nil. It is ignored if
	// Sources says that this member did not hold all records. Detach must be
	// called before every ApplyAssignment, because it also raises the fence.
	LocalRecords *UnitRecords
}

func contains(members []Member, id table.MemberID) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.ID == id })
}

// candidates returns the members to read the records from, in order of
// preference. Copies in sync hold all records as well.
func (a *Assignment) candidates(self table.MemberID) []table.MemberID {
	var ids []table.MemberID
	for _, list := range [][]Member{a.Sources, a.Copies} {
		for _, m := range list {
			if m.ID != self && !slices.Contains(ids, m.ID) {
				ids = append(ids, m.ID)
			}
		}
	}
	return ids
}
