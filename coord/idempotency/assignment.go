package idempotency

import (
	"slices"
	"time"

	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

// Assignment is the ownership table's entry for a unit that this member owns.
type Assignment struct {
	Unit  shard.Unit
	Epoch uint64
	// Copies are the copies that have all records. Syncing are those to which
	// the owner still has to send all records.
	Copies  []Member
	Syncing []Member
	// Sources are the members that had all records at the previous epoch: its
	// copies in sync, and its owner if it had reported Ready. If the previous
	// epoch had no copy in sync, no request was dispatched at that epoch, so
	// the sources of that epoch still have all records and are listed too. If
	// it had a copy in sync, they may lack records and are not listed, whether
	// or not the owner's Ready had reached control. With
	// Config.AllowNoRemoteCopy, requests can be dispatched without a copy in
	// sync, and this does not hold.
	Sources []Member
	// RecordsLost means that all members with the records were lost. Requests
	// that no record answers are then refused with the outcome unknown until
	// Lifetime plus Config.MaxClockSkew has passed since the loss.
	RecordsLost bool
	// NeverSynced means that no copy of the unit was ever reported Synced. The
	// unit has no records then, because a request needs a copy in sync (but see
	// Config.AllowNoRemoteCopy). Control clears it at the first Synced and not
	// at the first owner, because it cannot know whether a lost owner had begun
	// to serve. While it is set, all copies of the unit count as syncing, and
	// the records are not fetched from Sources, which need not have any.
	NeverSynced bool
	// Lifetime is the retention period of records; zero or less selects
	// Config.DefaultLifetime.
	Lifetime time.Duration
	// LocalRecords is the result of CopyStore.Detach for the unit, or nil. It is
	// used only if this member is among Sources and the Owner has no records of
	// the unit. Detach also raises the fence of the CopyStore. The process calls
	// it if it did not own the unit by the table applied before.
	LocalRecords *UnitRecords
}

func contains(members []Member, id table.MemberID) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.ID == id })
}

// candidates returns the members to fetch the records from, in order of
// preference. Copies are included, because they have all records as well.
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
