package idempotency

import "bramleyquay.example/coord/clock"

// send sends a write to a copy and retries it until it is acknowledged. req has
// the records and the step; the other fields are set here. e and record are nil
// if the write does not carry the record of an execution.
func (o *Owner) send(u *ownedUnit, p *copyProgress, e *execution, record *Record, req WriteRequest) {
	req.Seq = o.nextSeq()
	req.Unit, req.Epoch, req.From = u.unit, u.epoch, o.cfg.Self.ID
	req.Incarnation = p.incarnation
	req.LifetimeMs = u.store.lifetime.Milliseconds()
	req.LostAtMs = u.store.lostAtMs
	if p.transfer != nil {
		req.Transfer = p.transfer.id
	}
	o.pending.add(&pendingWrite{unit: u, copy: p, execution: e, record: record, req: req, sentAt: o.now})
	o.emit(Write{To: p.id, WriteRequest: req})
}

// sendOnce sends a record to all copies that accept writes, without retries.
func (o *Owner) sendOnce(u *ownedUnit, record *Record) {
	for _, p := range u.copies {
		if !p.accepting {
			continue
		}
		req := WriteRequest{
			Seq: o.nextSeq(), Unit: u.unit, Epoch: u.epoch, From: o.cfg.Self.ID, Incarnation: p.incarnation,
			LifetimeMs: u.store.lifetime.Milliseconds(), LostAtMs: u.store.lostAtMs, Records: []Record{*record},
		}
		if p.transfer != nil {
			req.Transfer = p.transfer.id
		}
		o.emit(Write{To: p.id, WriteRequest: req})
	}
}

// retryWrites retries the writes without reply within WriteTimeout. Copies
// recognise duplicates by the epochs and versions of the records.
func (o *Owner) retryWrites() {
	for _, w := range o.takeOverdue() {
		w.sentAt = o.now
		o.pending.queue = append(o.pending.queue, w)
		o.emit(Write{To: w.copy.id, WriteRequest: w.req})
	}
}

// Acked handles the reply of a copy to a write, accepted or not. If the copy has
// seen a higher epoch, the ownership of the unit ends. A write that is rejected
// because the copy is full or finds it invalid is retried after WriteTimeout.
func (o *Owner) Acked(now clock.Reading, reply WriteReply) []Action {
	o.startEvent(now)
	w := o.pending.bySeq[reply.Seq]
	if w == nil || w.copy.id != reply.From || w.unit.unit != reply.Unit {
		return nil
	}
	switch {
	case reply.Accepted:
		o.pending.remove(w)
		o.writeAccepted(w, reply)
	case reply.Reason == RejectStaleEpoch && reply.Epoch > w.unit.epoch:
		o.dropUnit(w.unit)
	case reply.Reason == RejectIncomplete:
		o.handleIncompleteCopy(w)
	}
	return o.actions
}

func (o *Owner) writeAccepted(w *pendingWrite, reply WriteReply) {
	p := w.copy
	p.incarnation = reply.Incarnation
	switch {
	case w.req.Step != TransferNone:
		o.transferAcked(w.unit, p, w.req.Step)
	case w.execution == nil:
		wasAccepting := p.accepting
		p.accepting, p.confirmed = true, true
		o.reportSynced(w.unit, p)
		if !wasAccepting {
			o.sendPendingRecords(w.unit, p)
		}
	case w.execution.record == w.record:
		w.execution.acks = append(w.execution.acks, p.id)
		o.advance(w.execution)
	}
}

// handleIncompleteCopy handles the reply of a copy that does not have the records: it
// starts a new transfer to a syncing copy, unless one is in progress that started
// less than WriteTimeout ago. A copy that the table lists as in sync
// is left to control: it has restarted and lost its fence, so a previous owner
// could also send it all records and dispatch requests that it acknowledges.
func (o *Owner) handleIncompleteCopy(w *pendingWrite) {
	p := w.copy
	if !p.syncing {
		p.accepting = false
		return
	}
	if p.transfer != nil && o.now.Since(p.transfer.startedAt) < o.cfg.WriteTimeout {
		return
	}
	o.startTransfer(w.unit, p)
}

// WriteFailed handles a write that did not reach its copy. Like a write without
// reply, it is retried after WriteTimeout: an earlier retry would load a copy that
// refuses connections.
func (o *Owner) WriteFailed(clock.Reading, uint64) []Action { return nil }
