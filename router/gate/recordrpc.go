package gate

import (
	"context"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/idempotency"
	"bramleyquay.example/coord/table"
	"bramleyquay.example/router/timesource"
)

// Methods of the records between owners and copies.
const (
	MethodWriteRecords = "record.write"
	MethodFetchRecords = "record.fetch"
)

// write sends records to a copy and reports the answer.
func (p *payments) write(w idempotency.Write) {
	var reply idempotency.WriteReply
	if p.call(w.To, MethodWriteRecords, w.WriteRequest, &reply) {
		p.event(func(now clock.Reading) []idempotency.Action { return p.owner.Acked(now, reply) })
		return
	}
	p.event(func(now clock.Reading) []idempotency.Action { return p.owner.WriteFailed(now, w.Seq) })
}

// fetch reads records from a copy and reports the answer.
func (p *payments) fetch(f idempotency.Fetch) {
	var reply idempotency.FetchReply
	if p.call(f.From, MethodFetchRecords, f.FetchRequest, &reply) {
		p.event(func(now clock.Reading) []idempotency.Action { return p.owner.Fetched(now, reply) })
		return
	}
	p.event(func(now clock.Reading) []idempotency.Action { return p.owner.FetchFailed(now, f.Seq) })
}

func (p *payments) call(to table.MemberID, method string, params, reply any) bool {
	m, ok := p.gate.members.View().Directory.Member(to)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	if err := p.caller.Call(ctx, m.PeerAddr, method, params, reply); err != nil {
		p.gate.log.Debugf("%s at %s failed: %v", method, to, err)
		return false
	}
	return true
}

// WriteRecords stores records of a unit that another member owns.
func (g *Gate) WriteRecords(_ context.Context, req idempotency.WriteRequest) (idempotency.WriteReply, error) {
	p := g.payments
	p.mu.Lock()
	defer p.mu.Unlock()
	now := timesource.Now()
	p.perform(p.owner.Fence(now, req.Unit, req.Epoch))
	return p.copies.Write(now, req), nil
}

// FetchRecords gives a new owner the records of its unit.
func (g *Gate) FetchRecords(_ context.Context, req idempotency.FetchRequest) (idempotency.FetchReply, error) {
	p := g.payments
	p.mu.Lock()
	defer p.mu.Unlock()
	now := timesource.Now()
	p.perform(p.owner.Fence(now, req.Unit, req.Epoch))
	return p.copies.Fetch(now, req), nil
}
