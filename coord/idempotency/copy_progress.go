package idempotency

import (
	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/table"
)

// copyProgress is the owner's view of one copy of a unit.
type copyProgress struct {
	id table.MemberID
	// remote means that the copy is in another data centre than the owner.
	remote bool
	// syncing means that the assignment lists the copy as syncing.
	syncing bool
	// accepting means that the copy has acknowledged an empty write or the first
	// step of a transfer. It is cleared when another transfer starts, or when a
	// copy that is listed as in sync reports missing records. The records of
	// requests are sent only to accepting copies.
	accepting bool
	// incarnation is the copy's incarnation, known from its first reply.
	incarnation uint64
	// transfer is the transfer in progress, or nil.
	transfer *transfer
	// synced is set once a syncing copy has all records, and confirmed once the
	// copy has replied at this epoch. Both are needed to report Synced, because a
	// copy that restarted and syncs again may have the same role in two tables
	// that the owner receives.
	synced     bool
	confirmed  bool
	reportedAt clock.Reading
}

// transfer is the state of one transfer of all records to a copy.
type transfer struct {
	id        TransferID
	startedAt clock.Reading
	// begun is set once the copy has acknowledged TransferBegin.
	begun bool
	// remaining are the keys whose records the copy has not acknowledged.
	remaining []string
	// sentKeys is the number of keys covered by the write that awaits its reply.
	sentKeys int
}

// startReplication starts the replication to a copy, or continues it at a new epoch.
func (o *Owner) startReplication(u *ownedUnit, p *copyProgress) {
	p.confirmed = false
	switch {
	case p.transfer != nil:
		o.sendTransferStep(u, p)
		o.sendPendingRecords(u, p)
	case p.syncing && !p.accepting:
		o.startTransfer(u, p)
	default:
		// An empty write raises the copy's fence. The reply contains the copy's
		// incarnation and shows whether it has lost its records.
		o.send(u, p, nil, nil, WriteRequest{})
		o.sendPendingRecords(u, p)
	}
}

// startTransfer starts a transfer of all records from the beginning.
func (o *Owner) startTransfer(u *ownedUnit, p *copyProgress) {
	o.pending.dropCopy(u, p)
	u.dropAcks(p.id)
	p.accepting, p.synced, p.incarnation = false, false, 0
	p.transfer = &transfer{id: TransferID{Epoch: u.epoch, Seq: o.nextSeq()}, startedAt: o.now}
	o.sendTransferStep(u, p)
}

// sendTransferStep sends the next step of a transfer. A step is sent after the one
// before it is acknowledged, so that the acknowledgement of the last step proves
// that all were applied.
func (o *Owner) sendTransferStep(u *ownedUnit, p *copyProgress) {
	req := WriteRequest{Step: TransferBegin}
	if p.transfer.begun {
		req.Records, p.transfer.sentKeys = u.store.page(p.transfer.remaining, o.cfg.PageBytes)
		req.Step = TransferChunk
		if p.transfer.sentKeys == len(p.transfer.remaining) {
			req.Step = TransferLast
		}
	}
	o.send(u, p, nil, nil, req)
}

// transferAcked continues a transfer after the copy has acknowledged step.
func (o *Owner) transferAcked(u *ownedUnit, p *copyProgress, step TransferStep) {
	switch step {
	case TransferBegin:
		p.transfer.begun, p.accepting = true, true
		p.transfer.remaining = u.store.keys()
		o.sendTransferStep(u, p)
		o.sendPendingRecords(u, p)
	case TransferChunk:
		p.transfer.remaining = p.transfer.remaining[p.transfer.sentKeys:]
		o.sendTransferStep(u, p)
	case TransferLast:
		p.transfer, p.synced, p.confirmed = nil, true, true
		o.reportSynced(u, p)
		o.advanceAll(u)
	}
}

// reportSynced emits Synced for a syncing copy that has all records and has
// confirmed it at this epoch.
func (o *Owner) reportSynced(u *ownedUnit, p *copyProgress) {
	if p.syncing && p.synced && p.confirmed {
		p.reportedAt = o.now
		o.emit(Synced{Unit: u.unit, Epoch: u.epoch, Copy: p.id})
	}
}

func (o *Owner) repeatSyncReports(u *ownedUnit) {
	for _, p := range u.copies {
		if p.synced && o.now.Since(p.reportedAt) >= o.cfg.SyncReportInterval {
			o.reportSynced(u, p)
		}
	}
}

// inSync reports whether the copy is listed as in sync, accepts records and has
// no transfer in progress.
func (p *copyProgress) inSync() bool { return !p.syncing && p.accepting && p.transfer == nil }
