package idempotency

import "bramleyquay.example/coord/clock"

// pendingWrite is a write that awaits its reply.
type pendingWrite struct {
	unit *ownedUnit
	copy *copyProgress
	// execution and record are set if the write carries the record of an
	// execution.
	execution *execution
	record    *Record
	req       WriteRequest
	sentAt    clock.Reading
	done      bool
}

// pendingWrites are the writes that await their replies, in the order of sending.
type pendingWrites struct {
	bySeq map[uint64]*pendingWrite
	queue []*pendingWrite
}

func (p *pendingWrites) add(w *pendingWrite) {
	p.bySeq[w.req.Seq] = w
	p.queue = append(p.queue, w)
}

func (p *pendingWrites) remove(w *pendingWrite) {
	w.done = true
	delete(p.bySeq, w.req.Seq)
	for len(p.queue) > 0 && p.queue[0].done {
		p.queue[0] = nil
		p.queue = p.queue[1:]
	}
}

func (p *pendingWrites) dropUnit(u *ownedUnit) {
	p.dropIf(func(w *pendingWrite) bool { return w.unit == u })
}

func (p *pendingWrites) dropCopy(u *ownedUnit, progress *copyProgress) {
	p.dropIf(func(w *pendingWrite) bool { return w.unit == u && w.copy == progress })
}

func (p *pendingWrites) dropIf(drop func(*pendingWrite) bool) {
	kept := p.queue[:0:0]
	for _, w := range p.queue {
		switch {
		case w.done:
		case drop(w):
			w.done = true
			delete(p.bySeq, w.req.Seq)
		default:
			kept = append(kept, w)
		}
	}
	p.queue = kept
}

// takeOverdue removes the writes that were sent WriteTimeout ago or earlier from
// the queue, and returns them. The caller sends them again and adds them back.
func (o *Owner) takeOverdue() []*pendingWrite {
	var due []*pendingWrite
	q := o.pending.queue
	for len(q) > 0 && (q[0].done || o.now.Since(q[0].sentAt) >= o.cfg.WriteTimeout) {
		if !q[0].done {
			due = append(due, q[0])
		}
		q[0] = nil
		q = q[1:]
	}
	o.pending.queue = q
	return due
}
