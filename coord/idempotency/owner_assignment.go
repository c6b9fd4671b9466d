package idempotency

import (
	"slices"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

// ApplyAssignment makes this member the owner of a unit at a new epoch, or applies
// a change of the unit's copies. While this member owns the unit, an assignment
// whose epoch is not higher than the one applied last is ignored. After the
// ownership has ended, for example by Release or Fence, the epoch is not checked.
func (o *Owner) ApplyAssignment(now clock.Reading, a Assignment) []Action {
	o.startEvent(now)
	if a.Lifetime <= 0 {
		a.Lifetime = o.cfg.DefaultLifetime
	}
	u := o.units[a.Unit]
	if u == nil {
		u = &ownedUnit{unit: a.Unit, executions: map[string]*execution{}}
		o.addUnit(u)
	} else if a.Epoch <= u.epoch {
		return nil
	}
	successive := u.store != nil && a.Epoch == u.epoch+1
	u.epoch = a.Epoch
	o.pending.dropUnit(u)
	// The records of this process are complete if this member was the owner with
	// all records at the epoch before, because no other owner can have added any
	// since, or if it is one of the sources. In the first case they are complete
	// even if Sources does not list this member.
	if successive || (u.store != nil && contains(a.Sources, o.cfg.Self.ID)) {
		o.configureStore(u, &a)
	} else {
		// The former progress of the copies no longer counts: another member may
		// have owned the unit since.
		u.copies = nil
		o.loadRecords(u, &a)
	}
	o.setCopies(u, &a)
	if u.store != nil {
		o.ready(u, &a)
	}
	return o.actions
}

// configureStore sets the lifetime of the unit's store and, if all records were
// lost, the time of the loss unless it is set already.
func (o *Owner) configureStore(u *ownedUnit, a *Assignment) {
	u.store.lifetime = a.Lifetime
	if a.RecordsLost && u.store.lostAtMs == 0 {
		u.store.lostAtMs = wallMs(o.now)
	}
}

// loadRecords gets the records of a unit for which this process has none that
// are known to be complete: from LocalRecords, as an empty store, or by fetching
// them from a copy.
func (o *Owner) loadRecords(u *ownedUnit, a *Assignment) {
	o.abandonExecutions(u)
	var lostAt int64
	if u.store != nil {
		lostAt = u.store.lostAtMs
	}
	u.store = nil
	switch {
	case a.LocalRecords != nil && contains(a.Sources, o.cfg.Self.ID):
		u.store = a.LocalRecords.store
	case a.NeverSynced:
		u.store = newStore(a.Lifetime)
	case a.RecordsLost && len(a.Sources) == 0:
		// If the unit had lost its records before, the time of the first loss stays.
		u.store = newStore(a.Lifetime)
		u.store.lostAtMs = lostAt
	default:
		o.startRecovery(u, a)
		return
	}
	u.recovery = nil
	o.configureStore(u, a)
}

// ready begins to serve u: it starts the replication to the copies, advances the
// executions and admits the requests that waited for the records.
func (o *Owner) ready(u *ownedUnit, a *Assignment) {
	o.emit(Ready{Unit: u.unit, Epoch: u.epoch})
	for _, p := range u.copies {
		o.startReplication(u, p)
	}
	for _, e := range slices.Clone(u.executionOrder) {
		o.advance(e)
	}
	waiting := u.waiting
	u.waiting = nil
	for _, c := range waiting {
		if o.calls[c.req.ID] == c {
			o.admit(u, c)
		}
	}
}

// Release ends the ownership of a unit. Requests that were not dispatched are
// refused. Requests at the target are answered when the target responds, because
// the response is valid whoever owns the unit now.
func (o *Owner) Release(now clock.Reading, unit shard.Unit) []Action {
	o.startEvent(now)
	if u := o.units[unit]; u != nil {
		o.dropUnit(u)
	}
	return o.actions
}

// Fence ends the ownership of a unit if epoch is higher than this owner's, which
// means that another member owns the unit. The process calls it before it passes
// a write or fetch of another member to its CopyStore.
func (o *Owner) Fence(now clock.Reading, unit shard.Unit, epoch uint64) []Action {
	o.startEvent(now)
	if u := o.units[unit]; u != nil && u.epoch < epoch {
		o.dropUnit(u)
	}
	return o.actions
}

func (o *Owner) dropUnit(u *ownedUnit) {
	o.abandonExecutions(u)
	for _, c := range u.waiting {
		o.refuse(c, refuseNotOwner())
	}
	o.pending.dropUnit(u)
	o.removeUnit(u)
	if u.store != nil {
		o.emit(Released{Records: &UnitRecords{Unit: u.unit, Epoch: u.epoch, store: u.store}})
	}
}

// setCopies replaces the copies of u. A copy that is still listed keeps its
// progress, unless it was in sync and is listed as syncing: it has lost its
// records then.
func (o *Owner) setCopies(u *ownedUnit, a *Assignment) {
	old := u.copies
	u.copies = nil
	add := func(m Member, syncing bool) {
		if m.ID == o.cfg.Self.ID || slices.ContainsFunc(u.copies, func(p *copyProgress) bool { return p.id == m.ID }) {
			return
		}
		p := findCopy(old, m.ID)
		if p == nil || (syncing && !p.syncing) {
			p = &copyProgress{id: m.ID}
			u.dropAcks(m.ID)
		}
		if !syncing && p.transfer != nil {
			// The copy has all records or has restarted. Its reply to the empty
			// write of startReplication shows which.
			p = &copyProgress{id: m.ID}
		}
		p.syncing, p.remote = syncing, m.DataCentre != o.cfg.Self.DataCentre
		u.copies = append(u.copies, p)
	}
	for _, m := range a.Copies {
		add(m, a.NeverSynced)
	}
	for _, m := range a.Syncing {
		add(m, true)
	}
	for _, p := range old {
		if findCopy(u.copies, p.id) == nil {
			u.dropAcks(p.id)
		}
	}
}

func findCopy(copies []*copyProgress, id table.MemberID) *copyProgress {
	for _, p := range copies {
		if p.id == id {
			return p
		}
	}
	return nil
}
