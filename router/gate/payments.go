package gate

import (
	"context"
	"sync"
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/control"
	"bramleyquay.example/coord/idempotency"
	"bramleyquay.example/coord/outcome"
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
	"bramleyquay.example/router/member"
	"bramleyquay.example/router/timesource"
)

// PeerClient calls other processes. *peer.Client implements it.
type PeerClient interface {
	Call(ctx context.Context, addr, method string, params, result any) error
}

// payments runs the records of payments: those of owned units and the copies
// for other owners.
type payments struct {
	gate   *Gate
	caller PeerClient

	mu          sync.Mutex
	owner       *idempotency.Owner
	copies      *idempotency.CopyStore
	incarnation uint64
	adopted     map[shard.Unit]uint64
	waiting     map[uint64]chan decision
	next        uint64
	synced      map[syncedKey]control.CopySynced
	// The revisions that were taken over.
	table, config uint64
}

// decision is what the owner's records decide about one request: exactly one of
// dispatch, answer and refusal is set.
type decision struct {
	dispatch bool
	answer   *idempotency.Response
	replayed bool
	refusal  *outcome.Refusal
}

func newPayments(g *Gate, caller PeerClient) *payments {
	p := &payments{
		gate: g, caller: caller,
		owner: idempotency.NewOwner(idempotency.Config{
			Self:      idempotency.Member{ID: g.cfg.Self, DataCentre: g.cfg.DataCentre},
			PageBytes: recordPageBytes, WriteTimeout: recordRepeat,
		}),
		adopted: map[shard.Unit]uint64{},
		waiting: map[uint64]chan decision{},
		synced:  map[syncedKey]control.CopySynced{},
	}
	p.incarnation = g.members.View().Incarnation
	p.copies = p.newCopies()
	return p
}

func (p *payments) newCopies() *idempotency.CopyStore {
	return idempotency.NewCopyStore(idempotency.CopyConfig{
		Self: p.gate.cfg.Self, Incarnation: p.incarnation, PageBytes: recordPageBytes,
	})
}

// begin asks the records about a request. The answer arrives on the channel.
func (p *payments) begin(r idempotency.Request) (uint64, chan decision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next++
	r.ID = p.next
	decided := make(chan decision, 2)
	p.waiting[r.ID] = decided
	p.perform(p.owner.Begin(timesource.Now(), r))
	return r.ID, decided
}

// event passes an event to the owner's records and performs what follows.
func (p *payments) event(f func(now clock.Reading) []idempotency.Action) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.perform(f(timesource.Now()))
}

// forget drops a request that has its answer.
func (p *payments) forget(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, id)
}

func (p *payments) tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := timesource.Now()
	p.perform(p.owner.Tick(now))
	p.copies.Tick(now)
}

// perform carries out the owner's actions. The caller holds mu.
func (p *payments) perform(actions []idempotency.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case idempotency.Dispatch:
			p.decide(a.ID, decision{dispatch: true})
		case idempotency.Reply:
			p.decide(a.ID, decision{answer: a.Response, replayed: a.Replayed})
		case idempotency.Refuse:
			p.decide(a.ID, decision{refusal: a.Refusal})
		case idempotency.Write:
			go p.write(a)
		case idempotency.Fetch:
			go p.fetch(a)
		case idempotency.Synced:
			p.reportSynced(control.CopySynced{Unit: a.Unit, Epoch: a.Epoch, Copy: a.Copy})
		case idempotency.Released:
			p.copies.Attach(timesource.Now(), a.Records)
		case idempotency.Ready:
			if e := p.gate.members.View().Table.Entry(a.Unit); e != nil && e.AwaitsSync(p.gate.cfg.Self) {
				p.reportSynced(control.CopySynced{Unit: a.Unit, Epoch: a.Epoch, Copy: p.gate.cfg.Self})
			}
		}
	}
}

// syncedKey names a holder of a unit's records.
type syncedKey struct {
	unit shard.Unit
	copy table.MemberID
}

// reportSynced tells control that a member holds all records of a unit.
func (p *payments) reportSynced(s control.CopySynced) {
	p.synced[syncedKey{s.Unit, s.Copy}] = s
	p.gate.members.RenewNow()
}

func (p *payments) decide(id uint64, d decision) {
	decided, ok := p.waiting[id]
	if !ok {
		return
	}
	select {
	case decided <- d:
	default:
	}
}

// follow adopts the payment units that this member owns by the newest table
// and drops the others.
func (p *payments) follow(v *member.View, assign func(*table.Entry) (idempotency.Assignment, bool)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := timesource.Now()
	if v.Incarnation != p.incarnation {
		p.reset(now, v.Incarnation)
	}
	t := v.Table
	if t.Revision() == p.table && v.ConfigRevision == p.config {
		return
	}
	p.table, p.config = t.Revision(), v.ConfigRevision
	for unit := range p.adopted {
		if e := t.Entry(unit); e == nil || e.Owner != p.gate.cfg.Self {
			delete(p.adopted, unit)
			p.perform(p.owner.Release(now, unit))
		}
	}
	t.Each(func(e *table.Entry) bool {
		if a, ok := assign(e); ok {
			p.adopt(now, e, a)
		}
		return true
	})
	p.copies.Prune(now, t.Entry)
	p.dropSynced(t)
}

// adopt takes a unit over at a new epoch.
func (p *payments) adopt(now clock.Reading, e *table.Entry, a idempotency.Assignment) {
	before, known := p.adopted[e.Unit]
	if known && before == e.Epoch {
		return
	}
	if !known {
		a.LocalRecords = p.copies.Detach(now, e.Unit, e.Epoch)
	}
	p.adopted[e.Unit] = e.Epoch
	p.perform(p.owner.ApplyAssignment(now, a))
}

// dropSynced forgets reports that the table has taken over or outdated.
func (p *payments) dropSynced(t *table.Table) {
	for key, s := range p.synced {
		e := t.Entry(s.Unit)
		if e == nil || e.Epoch != s.Epoch || e.Owner != p.gate.cfg.Self || !e.AwaitsSync(s.Copy) {
			delete(p.synced, key)
		}
	}
}

func (p *payments) syncedReports() []control.CopySynced {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]control.CopySynced, 0, len(p.synced))
	for _, s := range p.synced {
		list = append(list, s)
	}
	return list
}

// reset drops every record, because control declared this member lost: what it
// holds may miss later records. The caller holds mu.
func (p *payments) reset(now clock.Reading, incarnation uint64) {
	for unit := range p.adopted {
		p.perform(p.owner.Release(now, unit))
	}
	clear(p.adopted)
	clear(p.synced)
	p.table, p.config, p.incarnation = 0, 0, incarnation
	p.copies = p.newCopies()
}

// status returns the records' part of a state dump.
func (p *payments) status() any {
	p.mu.Lock()
	defer p.mu.Unlock()
	return struct {
		Owner  any `json:"owner"`
		Copies any `json:"copies"`
	}{p.owner.Status(), p.copies.Status()}
}

const (
	// recordTimeout bounds one write or fetch; the owner repeats it.
	recordTimeout = time.Second
	// recordRepeat is the time after which a write or fetch without an answer is
	// repeated. With 100 ms and pages of 1 MB the transfers of many units at
	// once took longer than that, and their repeats kept each other late.
	recordRepeat = 400 * time.Millisecond
	// recordPageBytes is the size of one message of records.
	recordPageBytes = 64 << 10
)
