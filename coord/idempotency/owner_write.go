package idempotency

import "bramleyquay.example/coord/clock"

// send passes a write to a copy and remembers it until it is answered. The
// caller fills the records and the join step.
func (o *Owner) send(u *ownedUnit, p *peer, r *run, record *Record, req WriteRequest) {
	req.Seq = o.nextSeq()
	req.Unit, req.Epoch, req.From = u.unit, u.epoch, o.cfg.Self.ID
	req.Incarnation = p.incarnation
	req.LifetimeMs = u.store.lifetime.Milliseconds()
	req.LostAtMs = u.store.lostAtMs
	if p.join != nil {
		req.Transfer = p.join.id
	}
	o.pending.add(&pendingWrite{unit: u, peer: p, run: r, record: record, req: req, sentAt: o.now})
	o.emit(Write{To: p.id, WriteRequest: req})
}

// sendOnce passes a record to all copies without waiting for an answer.
func (o *Owner) sendOnce(u *ownedUnit, record *Record) {
	for _, p := range u.peers {
		if !p.open {
			continue
		}
		req := WriteRequest{
			Seq: o.nextSeq(), Unit: u.unit, Epoch: u.epoch, From: o.cfg.Self.ID, Incarnation: p.incarnation,
			LifetimeMs: u.store.lifetime.Milliseconds(), LostAtMs: u.store.lostAtMs, Records: []Record{*record},
		}
		if p.join != nil {
			req.Transfer = p.join.id
		}
		o.emit(Write{To: p.id, WriteRequest: req})
	}
}

// repeatWrites sends writes again that were not answered in time. Copies
// recognise repeats by the records' versions.
func (o *Owner) repeatWrites() {
	for _, w := range o.due() {
		w.sentAt = o.now
		o.pending.queue = append(o.pending.queue, w)
		o.emit(Write{To: w.peer.id, WriteRequest: w.req})
	}
}

// Acked handles the answer of a copy.
func (o *Owner) Acked(now clock.Reading, reply WriteReply) []Action {
	o.begin(now)
	w := o.pending.bySeq[reply.Seq]
	if w == nil || w.peer.id != reply.From || w.unit.unit != reply.Unit {
		return nil
	}
	switch {
	case reply.Accepted:
		o.pending.remove(w)
		o.accepted(w, reply)
	case reply.Problem == ProblemStale && reply.Epoch > w.unit.epoch:
		o.drop(w.unit)
	case reply.Problem == ProblemNotHeld:
		o.rejoin(w)
	}
	return o.out
}

func (o *Owner) accepted(w *pendingWrite, reply WriteReply) {
	p := w.peer
	p.incarnation = reply.Incarnation
	switch {
	case w.req.Step != TransferNone:
		o.joinAcked(w.unit, p, w.req.Step)
	case w.run == nil:
		wasOpen := p.open
		p.open, p.confirmed = true, true
		o.reportSynced(w.unit, p)
		if !wasOpen {
			o.sendRuns(w.unit, p)
		}
	case w.run.record == w.record:
		w.run.acks = append(w.run.acks, p.id)
		o.advance(w.run)
	}
}

// rejoin fills a joining copy that lost its records. A copy that the table
// calls in sync is left to control: it has restarted and forgotten its fence,
// so a previous owner could fill it and dispatch on its account.
func (o *Owner) rejoin(w *pendingWrite) {
	p := w.peer
	if !p.joining {
		p.open = false
		return
	}
	if p.join != nil && o.now.Since(p.join.startedAt) < o.cfg.WriteTimeout {
		return
	}
	o.openJoin(w.unit, p)
}

// WriteFailed handles a write that did not reach its copy. Like a write that
// is not answered, it is repeated after WriteTimeout: an earlier repeat would
// load a copy that refuses connections.
func (o *Owner) WriteFailed(clock.Reading, uint64) []Action { return nil }
