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

// PeerClient calls methods of other processes. *peer.Client implements it.
type PeerClient interface {
	// Call stores the reply in result. It blocks until the reply has arrived or ctx
	// ends.
	Call(ctx context.Context, addr, method string, params, result any) error
}

// paymentRecords holds the idempotency records of payments: those of owned units,
// and the copies of those that other members own. Its methods may be called
// concurrently.
type paymentRecords struct {
	gate   *Gate
	client PeerClient

	mu          sync.Mutex
	owner       *idempotency.Owner
	copies      *idempotency.CopyStore
	incarnation uint64
	adopted     map[shard.Unit]uint64 // by owned payment unit the epoch that was adopted
	waiting     map[uint64]chan decision
	lastID      uint64
	// synced are the reports of complete copies that the table does not contain yet.
	synced map[syncedKey]control.CopySynced
	// tableRevision and configRevision are those of the view applied last.
	tableRevision, configRevision uint64
}

// decision is the owner's decision about one request by its record: exactly one
// of dispatch, answer and refusal is set.
type decision struct {
	dispatch bool
	answer   *idempotency.Response
	replayed bool
	refusal  *outcome.Refusal
}

func newPaymentRecords(g *Gate, client PeerClient) *paymentRecords {
	p := &paymentRecords{
		gate: g, client: client,
		owner: idempotency.NewOwner(idempotency.Config{
			Self:      idempotency.Member{ID: g.cfg.Self, DataCentre: g.cfg.DataCentre},
			PageBytes: recordPageBytes, WriteTimeout: recordRetryInterval,
		}),
		adopted: map[shard.Unit]uint64{},
		waiting: map[uint64]chan decision{},
		synced:  map[syncedKey]control.CopySynced{},
	}
	p.incarnation = g.members.View().Incarnation
	p.copies = p.newCopies()
	return p
}

func (p *paymentRecords) newCopies() *idempotency.CopyStore {
	return idempotency.NewCopyStore(idempotency.CopyConfig{
		Self: p.gate.cfg.Self, Incarnation: p.incarnation, PageBytes: recordPageBytes,
	})
}

// begin passes a request to the owner's records. The returned channel receives at
// most two decisions: to dispatch, and the answer or refusal. The caller must call
// forget with the returned id.
func (p *paymentRecords) begin(r idempotency.Request) (uint64, chan decision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastID++
	r.ID = p.lastID
	decided := make(chan decision, 2)
	p.waiting[r.ID] = decided
	p.perform(p.owner.Begin(timesource.Now(), r))
	return r.ID, decided
}

// apply passes an event to the owner's records and performs the actions that they
// return.
func (p *paymentRecords) apply(f func(now clock.Reading) []idempotency.Action) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.perform(f(timesource.Now()))
}

// forget removes a request that waits for no further decision.
func (p *paymentRecords) forget(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, id)
}

func (p *paymentRecords) tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := timesource.Now()
	p.perform(p.owner.Tick(now))
	p.copies.Tick(now)
}

// perform carries out the actions of the owner's records. The caller must hold mu.
func (p *paymentRecords) perform(actions []idempotency.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case idempotency.Dispatch:
			p.deliver(a.ID, decision{dispatch: true})
		case idempotency.Reply:
			p.deliver(a.ID, decision{answer: a.Response, replayed: a.Replayed})
		case idempotency.Refuse:
			p.deliver(a.ID, decision{refusal: a.Refusal})
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

// syncedKey identifies the copy of a unit's records at a member.
type syncedKey struct {
	unit shard.Unit
	copy table.MemberID
}

// reportSynced reports to control, with the next renewals, that a member has
// received all records of a unit. The caller must hold mu.
func (p *paymentRecords) reportSynced(s control.CopySynced) {
	p.synced[syncedKey{s.Unit, s.Copy}] = s
	p.gate.members.RenewNow()
}

// deliver sends a decision to the request that waits for it. The caller must hold
// mu.
func (p *paymentRecords) deliver(id uint64, d decision) {
	decided, ok := p.waiting[id]
	if !ok {
		return
	}
	select {
	case decided <- d:
	default:
	}
}

// applyView adopts the payment units that this member owns by the newest table,
// releases the others and removes the copies that are no longer assigned to this
// member. With a new incarnation it first drops all records. assign returns the
// assignment of an owned unit.
func (p *paymentRecords) applyView(v *member.View, assign func(*table.Entry) (idempotency.Assignment, bool)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := timesource.Now()
	if v.Incarnation != p.incarnation {
		p.reset(now, v.Incarnation)
	}
	t := v.Table
	if t.Revision() == p.tableRevision && v.ConfigRevision == p.configRevision {
		return
	}
	p.tableRevision, p.configRevision = t.Revision(), v.ConfigRevision
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

// adopt makes this member the owner of a unit's records at the entry's epoch. It
// uses the records of the local copy only if the unit was not adopted at an earlier
// epoch. It does nothing if the epoch is known already. The caller must hold mu.
func (p *paymentRecords) adopt(now clock.Reading, e *table.Entry, a idempotency.Assignment) {
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

// dropSynced removes the reports that the table already contains and those of
// earlier epochs. The caller must hold mu.
func (p *paymentRecords) dropSynced(t *table.Table) {
	for key, s := range p.synced {
		e := t.Entry(s.Unit)
		if e == nil || e.Epoch != s.Epoch || e.Owner != p.gate.cfg.Self || !e.AwaitsSync(s.Copy) {
			delete(p.synced, key)
		}
	}
}

func (p *paymentRecords) syncedReports() []control.CopySynced {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]control.CopySynced, 0, len(p.synced))
	for _, s := range p.synced {
		list = append(list, s)
	}
	return list
}

// reset drops all records, because control has declared this member lost and later
// records may be missing here. The caller must hold mu.
func (p *paymentRecords) reset(now clock.Reading, incarnation uint64) {
	for unit := range p.adopted {
		p.perform(p.owner.Release(now, unit))
	}
	clear(p.adopted)
	clear(p.synced)
	p.tableRevision, p.configRevision, p.incarnation = 0, 0, incarnation
	p.copies = p.newCopies()
}

// status returns the state of the records for a state dump.
func (p *paymentRecords) status() any {
	p.mu.Lock()
	defer p.mu.Unlock()
	return struct {
		Owner  any `json:"owner"`
		Copies any `json:"copies"`
	}{p.owner.Status(), p.copies.Status()}
}

const (
	// recordTimeout bounds one write or fetch; the owner retries it.
	recordTimeout = time.Second
	// recordRetryInterval is the time after which a write or fetch without an
	// answer is retried. With 100 ms and pages of 1 MB, transfers of many units at
	// once took longer than the interval, and their retries delayed each other.
	recordRetryInterval = 400 * time.Millisecond
	// recordPageBytes bounds the records in one message, in bytes.
	recordPageBytes = 64 << 10
)
