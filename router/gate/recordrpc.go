package gate

import (
	"context"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/idempotency"
	"bramleyquay.example/coord/table"
	"bramleyquay.example/router/timesource"
)

// RPC methods by which owners write records to copies and fetch them.
const (
	MethodWriteRecords = "record.write"
	MethodFetchRecords = "record.fetch"
)

// write sends records to a copy and passes the reply to the owner's records. It
// blocks up to recordTimeout.
func (p *paymentRecords) write(w idempotency.Write) {
	var reply idempotency.WriteReply
	if p.call(w.To, MethodWriteRecords, w.WriteRequest, &reply) {
		p.apply(func(now clock.Reading) []idempotency.Action { return p.owner.Acked(now, reply) })
		return
	}
	p.apply(func(now clock.Reading) []idempotency.Action { return p.owner.WriteFailed(now, w.Seq) })
}

// fetch requests records from a copy and passes the reply to the owner's records.
// It blocks up to recordTimeout.
func (p *paymentRecords) fetch(f idempotency.Fetch) {
	var reply idempotency.FetchReply
	if p.call(f.From, MethodFetchRecords, f.FetchRequest, &reply) {
		p.apply(func(now clock.Reading) []idempotency.Action { return p.owner.Fetched(now, reply) })
		return
	}
	p.apply(func(now clock.Reading) []idempotency.Action { return p.owner.FetchFailed(now, f.Seq) })
}

// call calls a method of a member. It reports whether a reply was received.
func (p *paymentRecords) call(to table.MemberID, method string, params, reply any) bool {
	m, ok := p.gate.members.View().Directory.Member(to)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	if err := p.client.Call(ctx, m.PeerAddr, method, params, reply); err != nil {
		p.gate.log.Debugf("%s at %s failed: %v", method, to, err)
		return false
	}
	return true
}

// WriteRecords handles MethodWriteRecords: it ends this member's own ownership of
// the unit at earlier epochs and stores records of the unit, which another member
// owns. The error is always nil.
func (g *Gate) WriteRecords(_ context.Context, req idempotency.WriteRequest) (idempotency.WriteReply, error) {
	p := g.payments
	p.mu.Lock()
	defer p.mu.Unlock()
	now := timesource.Now()
	p.perform(p.owner.Fence(now, req.Unit, req.Epoch))
	return p.copies.Write(now, req), nil
}

// FetchRecords handles MethodFetchRecords: it ends this member's own ownership of
// the unit at earlier epochs and returns records of the unit to its new owner. The
// error is always nil.
func (g *Gate) FetchRecords(_ context.Context, req idempotency.FetchRequest) (idempotency.FetchReply, error) {
	p := g.payments
	p.mu.Lock()
	defer p.mu.Unlock()
	now := timesource.Now()
	p.perform(p.owner.Fence(now, req.Unit, req.Epoch))
	return p.copies.Fetch(now, req), nil
}
