package idempotency

import (
	"slices"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

// ApplyAssignment takes over a unit at a new epoch, or applies a change of its copies.
// An epoch that is not higher than the known one is ignored.
func (o *Owner) ApplyAssignment(now clock.Reading, a Assignment) []Action {
	o.begin(now)
	if a.Lifetime <= 0 {
		a.Lifetime = o.cfg.DefaultLifetime
	}
	u := o.units[a.Unit]
	if u == nil {
		u = &ownedUnit{unit: a.Unit, runs: map[string]*run{}}
		o.addUnit(u)
	} else if a.Epoch <= u.epoch {
		return nil
	}
	successive := u.store != nil && a.Epoch == u.epoch+1
	u.epoch = a.Epoch
	o.pending.dropUnit(u)
	if successive || (u.store != nil && contains(a.Sources, o.cfg.Self.ID)) {
		o.keepRecords(u, &a)
	} else {
		// What the copies hold is unknown: another member may have owned the
		// unit since they were filled.
		u.peers = nil
		o.takeRecords(u, &a)
	}
	o.setPeers(u, &a)
	if u.store != nil {
		o.ready(u, &a)
	}
	return o.out
}

// keepRecords continues with the records of this process. They are complete if
// the member held them as owner at the epoch before, because no other owner
// can have added any whatever the sources are, or if it is a source itself.
func (o *Owner) keepRecords(u *ownedUnit, a *Assignment) {
	u.store.lifetime = a.Lifetime
	if a.RecordsLost && u.store.lostAtMs == 0 {
		u.store.lostAtMs = wallMs(o.now)
	}
}

// takeRecords decides where the records come from if this process has none
// that are known to be complete.
func (o *Owner) takeRecords(u *ownedUnit, a *Assignment) {
	o.abandonRuns(u)
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
		// If the unit lost its records before, the first loss counts.
		u.store = newStore(a.Lifetime)
		u.store.lostAtMs = lostAt
	default:
		o.recover(u, a)
		return
	}
	u.recovery = nil
	o.keepRecords(u, a)
}

// ready serves u and the requests that waited for its records.
func (o *Owner) ready(u *ownedUnit, a *Assignment) {
	o.emit(Ready{Unit: u.unit, Epoch: u.epoch})
	for _, p := range u.peers {
		o.startPeer(u, p)
	}
	for _, r := range slices.Clone(u.runOrder) {
		o.advance(r)
	}
	waiting := u.waiting
	u.waiting = nil
	for _, c := range waiting {
		if o.calls[c.req.ID] == c {
			o.admit(u, c)
		}
	}
}

// Release gives a unit up. Requests that were not dispatched are refused; those
// that are at the target are answered when the target answers, because the
// answer is true whoever owns the unit now.
func (o *Owner) Release(now clock.Reading, unit shard.Unit) []Action {
	o.begin(now)
	if u := o.units[unit]; u != nil {
		o.drop(u)
	}
	return o.out
}

// Fence gives a unit up if another member owns it at epoch. The process calls
// it before it passes a write or fetch of another member to its CopyStore.
func (o *Owner) Fence(now clock.Reading, unit shard.Unit, epoch uint64) []Action {
	o.begin(now)
	if u := o.units[unit]; u != nil && u.epoch < epoch {
		o.drop(u)
	}
	return o.out
}

func (o *Owner) drop(u *ownedUnit) {
	o.abandonRuns(u)
	for _, c := range u.waiting {
		o.refuse(c, refuseNotOwner())
	}
	o.pending.dropUnit(u)
	o.removeUnit(u)
	if u.store != nil {
		o.emit(Released{Records: &UnitRecords{Unit: u.unit, Epoch: u.epoch, store: u.store}})
	}
}

// setPeers replaces the copies of u. A copy that stays keeps its state; one
// that was in sync and joins again has lost its records.
func (o *Owner) setPeers(u *ownedUnit, a *Assignment) {
	old := u.peers
	u.peers = nil
	add := func(m Member, joining bool) {
		if m.ID == o.cfg.Self.ID || slices.ContainsFunc(u.peers, func(p *peer) bool { return p.id == m.ID }) {
			return
		}
		p := findPeer(old, m.ID)
		if p == nil || (joining && !p.joining) {
			p = &peer{id: m.ID}
			u.forgetAcks(m.ID)
		}
		if !joining && p.join != nil {
			// It holds all records, or it has restarted; its answer tells.
			p = &peer{id: m.ID}
		}
		p.joining, p.remote = joining, m.DataCentre != o.cfg.Self.DataCentre
		u.peers = append(u.peers, p)
	}
	for _, m := range a.Copies {
		add(m, a.NeverSynced)
	}
	for _, m := range a.Joining {
		add(m, true)
	}
	for _, p := range old {
		if findPeer(u.peers, p.id) == nil {
			u.forgetAcks(p.id)
		}
	}
}

func findPeer(peers []*peer, id table.MemberID) *peer {
	for _, p := range peers {
		if p.id == id {
			return p
		}
	}
	return nil
}
