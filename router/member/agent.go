package member

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"bramleyquay.example/coord/control"
	"bramleyquay.example/coord/lease"
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
	"bramleyquay.example/router/logging"
	"bramleyquay.example/router/peer"
	"bramleyquay.example/router/timesource"
)

// MethodRenew is the jsonrpc2 method of a renewal.
const MethodRenew = "member.renew"

// Caller calls other processes. *peer.Client implements it.
type Caller interface {
	Call(ctx context.Context, addr, method string, params, result any) error
	Drop(addr string)
}

// Agent renews the member's lease and holds its view of the cluster.
type Agent struct {
	cfg      Config
	caller   Caller
	reporter Reporter
	log      logging.Logger
	onView   func(*View)

	view atomic.Pointer[View]
	wake chan struct{}

	mu          sync.RWMutex
	holder      *lease.Holder
	incarnation uint64
	changed     chan struct{}
	leaving     bool
	hadLease    bool
	leader      string
}

// New returns an agent that has no lease. onView is called after each change
// of the view, before a lease that came with it counts; it must not call the
// agent's locking methods.
func New(cfg Config, caller Caller, log logging.Logger, onView func(*View)) *Agent {
	a := &Agent{
		cfg: cfg, caller: caller, log: log, onView: onView,
		wake:        make(chan struct{}, 1),
		holder:      lease.NewHolder(cfg.Lease),
		incarnation: newIncarnation(),
		changed:     make(chan struct{}),
	}
	a.view.Store(emptyView(a.incarnation))
	return a
}

// SetReporter sets the source of reports. It must be called before Run.
func (a *Agent) SetReporter(r Reporter) { a.reporter = r }

func newIncarnation() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])                       // never fails, by its documentation
	return binary.BigEndian.Uint64(b[:])>>12 | 1 // exact as a JSON number
}

// View returns the newest view.
func (a *Agent) View() *View { return a.view.Load() }

// Changed returns a channel that is closed at the next change of the view.
func (a *Agent) Changed() <-chan struct{} {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.changed
}

// RenewNow renews at once instead of at the next interval.
func (a *Agent) RenewNow() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Leave asks control to move everything away from this member.
func (a *Agent) Leave() {
	a.mu.Lock()
	a.leaving = true
	a.mu.Unlock()
	a.RenewNow()
}

// LeaseRemaining returns the time that the lease is still valid.
func (a *Agent) LeaseRemaining() time.Duration {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.holder.Remaining(timesource.Now())
}

// InContact reports whether control was heard from within the contact bound.
func (a *Agent) InContact() bool {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.holder.InContact(timesource.Now())
}

// Incarnation returns the incarnation that renewals carry.
func (a *Agent) Incarnation() uint64 {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.incarnation
}

// Leader returns the peer address of the control leader last known.
func (a *Agent) Leader() string {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.leader
}

// Owned returns the unit's entry and the remaining lease if this member owns
// the unit now. Both are read under one lock: an entry read before a fence
// must not be combined with a lease granted after it.
func (a *Agent) Owned(u shard.Unit) (*table.Entry, time.Duration, bool) {
	a.mu.RLock()
	defer a.mu.RUnlock()
	e := a.view.Load().Table.Entry(u)
	left := a.holder.Remaining(timesource.Now())
	return e, left, e != nil && e.Owner == a.cfg.ID && left > 0
}

// Run renews until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-a.wake:
		}
		next := a.cfg.Lease.RenewInterval
		if !a.renew(ctx) {
			next = a.cfg.Lease.RenewInterval / 10
		}
		timer.Reset(next)
	}
}

// renew sends one renewal and reports whether it was answered by the leader
// and needs no quick repeat.
func (a *Agent) renew(ctx context.Context) bool {
	r, addr := a.request()
	ctx, cancel := context.WithTimeout(ctx, a.cfg.RenewTimeout)
	defer cancel()
	var reply control.RenewalReply
	if err := a.caller.Call(ctx, addr, MethodRenew, r, &reply); err != nil {
		a.failed(addr, err)
		return false
	}
	a.apply(r, &reply)
	return reply.Status == control.RenewalGranted
}

func (a *Agent) request() (control.Renewal, string) {
	var rep Report
	if a.reporter != nil {
		rep = a.reporter.Report()
	}
	v := a.View()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leader == "" {
		a.leader = a.cfg.Control[0].Address
	}
	a.noteLapse()
	return control.Renewal{
		ID: a.cfg.ID, Incarnation: a.incarnation,
		Seq:        a.holder.BeginRenewal(timesource.Now()),
		DataCentre: a.cfg.DataCentre, PeerAddr: a.cfg.PeerAddr,
		Target: rep.Target, Leaving: a.leaving,
		TableRevision: v.Table.Revision(), ConfigRevision: v.ConfigRevision, DirectoryRevision: v.Directory.Revision,
		OldestTable: rep.OldestTable, OldestConfig: rep.OldestConfig,
		Load: rep.Load, Released: rep.Released, Synced: rep.Synced, HotKeys: rep.HotKeys, UnitLoads: rep.UnitLoads,
	}, a.leader
}

// noteLapse logs once when the lease has run out.
func (a *Agent) noteLapse() {
	if a.hadLease && !a.holder.Valid(timesource.Now()) {
		a.hadLease = false
		a.log.Warnf("lease expired; no owned unit is served until it is renewed")
	}
}

// failed picks the next control replica to ask.
func (a *Agent) failed(addr string, err error) {
	var nl *peer.NotLeaderError
	if errors.As(err, &nl) {
		a.setLeader(a.next(addr, a.known(nl)))
		return
	}
	a.caller.Drop(addr)
	a.log.Debugf("renewal at %s failed: %v", addr, err)
	a.setLeader(a.next(addr, ""))
}

func (a *Agent) setLeader(addr string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leader = addr
}

func (a *Agent) next(addr, hint string) string {
	if hint != "" && hint != addr {
		return hint
	}
	i := slices.IndexFunc(a.cfg.Control, func(p ControlReplica) bool { return p.Address == addr })
	return a.cfg.Control[(i+1)%len(a.cfg.Control)].Address
}

// known returns the leader's address: from the settings if they name it,
// otherwise the one that was given.
func (a *Agent) known(nl *peer.NotLeaderError) string {
	for _, p := range a.cfg.Control {
		if p.ID == nl.ID {
			return p.Address
		}
	}
	return nl.Leader
}
