package idempotency

import (
	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/table"
)

// peer is a copy of one unit as its owner sees it.
type peer struct {
	id table.MemberID
	// remote means that the copy is in another data centre than the owner.
	remote  bool
	joining bool
	// open means that the copy accepts records.
	open bool
	// incarnation is the copy's process, known from its first reply.
	incarnation uint64
	join        *join
	// synced is set once all records are on a joining copy, and confirmed once
	// the copy has answered at this epoch. A copy that restarted and joins
	// again may have the same role in two tables that the owner receives.
	synced     bool
	confirmed  bool
	reportedAt clock.Reading
}

// join is the transfer of all records to a copy.
type join struct {
	id        TransferID
	startedAt clock.Reading
	opened    bool
	// keys are still to be sent.
	keys []string
	// covered is the number of keys in the write on its way.
	covered int
}

// startPeer opens or continues the exchange with a copy at a new epoch.
func (o *Owner) startPeer(u *ownedUnit, p *peer) {
	p.confirmed = false
	switch {
	case p.join != nil:
		o.sendJoin(u, p)
		o.sendRuns(u, p)
	case p.joining && !p.open:
		o.openJoin(u, p)
	default:
		// An empty write raises the fence, tells the incarnation and finds a
		// copy that lost its records.
		o.send(u, p, nil, nil, WriteRequest{})
		o.sendRuns(u, p)
	}
}

// openJoin starts a transfer of all records from the beginning.
func (o *Owner) openJoin(u *ownedUnit, p *peer) {
	o.pending.dropPeer(u, p)
	u.forgetAcks(p.id)
	p.open, p.synced, p.incarnation = false, false, 0
	p.join = &join{id: TransferID{Epoch: u.epoch, Seq: o.nextSeq()}, startedAt: o.now}
	o.sendJoin(u, p)
}

// sendJoin sends the current step. One step is on its way at a time, so that
// the acknowledged last step proves that all earlier ones were applied.
func (o *Owner) sendJoin(u *ownedUnit, p *peer) {
	req := WriteRequest{Step: TransferBegin}
	if p.join.opened {
		req.Records, p.join.covered = u.store.page(p.join.keys, o.cfg.PageBytes)
		req.Step = TransferChunk
		if p.join.covered == len(p.join.keys) {
			req.Step = TransferLast
		}
	}
	o.send(u, p, nil, nil, req)
}

// joinAcked continues a transfer after step was applied.
func (o *Owner) joinAcked(u *ownedUnit, p *peer, step TransferStep) {
	switch step {
	case TransferBegin:
		p.join.opened, p.open = true, true
		p.join.keys = u.store.keys()
		o.sendJoin(u, p)
		o.sendRuns(u, p)
	case TransferChunk:
		p.join.keys = p.join.keys[p.join.covered:]
		o.sendJoin(u, p)
	case TransferLast:
		p.join, p.synced, p.confirmed = nil, true, true
		o.reportSynced(u, p)
		o.advanceAll(u)
	}
}

func (o *Owner) reportSynced(u *ownedUnit, p *peer) {
	if p.joining && p.synced && p.confirmed {
		p.reportedAt = o.now
		o.emit(Synced{Unit: u.unit, Epoch: u.epoch, Copy: p.id})
	}
}

func (o *Owner) tickPeers(u *ownedUnit) {
	for _, p := range u.peers {
		if p.synced && o.now.Since(p.reportedAt) >= o.cfg.SyncReportInterval {
			o.reportSynced(u, p)
		}
	}
}

// inSync reports whether p holds all records.
func (p *peer) inSync() bool { return !p.joining && p.open && p.join == nil }
