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

// Agent renews the member's lease and keeps its view of the cluster. It is safe
// for concurrent use.
type Agent struct {
	cfg      Config
	caller   Caller
	reporter Reporter
	log      logging.Logger
	onView   func(*View)

	view     atomic.Pointer[View]
	renewNow chan struct{}

	mu          sync.RWMutex
	holder      *lease.Holder
	incarnation uint64
	changed     chan struct{}
	leaving     bool
	hadLease    bool
	// renewalAddr is the peer address to which the next renewal is sent.
	renewalAddr string
}

// New returns an agent without a lease. onView is called after each change of
// the view, before a lease that was granted with it takes effect. It is called
// with the agent's lock held, so of the agent's methods it may call only View
// and RenewNow.
func New(cfg Config, caller Caller, log logging.Logger, onView func(*View)) *Agent {
	a := &Agent{
		cfg: cfg, caller: caller, log: log, onView: onView,
		renewNow:    make(chan struct{}, 1),
		holder:      lease.NewHolder(cfg.Lease),
		incarnation: newIncarnation(),
		changed:     make(chan struct{}),
	}
	a.view.Store(emptyView(a.incarnation))
	return a
}

// SetReporter sets the source of reports. It must be called before Run.
func (a *Agent) SetReporter(r Reporter) { a.reporter = r }

// newIncarnation returns a random incarnation; never zero.
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

// RenewNow makes Run renew at once instead of at the next interval. It does
// not block.
func (a *Agent) RenewNow() {
	select {
	case a.renewNow <- struct{}{}:
	default:
	}
}

// Leave asks control, from the next renewal on, to move all units away from
// this member.
func (a *Agent) Leave() {
	a.mu.Lock()
	a.leaving = true
	a.mu.Unlock()
	a.RenewNow()
}

// LeaseRemaining returns how long the lease is still valid, or zero if it is
// not.
func (a *Agent) LeaseRemaining() time.Duration {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.holder.Remaining(timesource.Now())
}

// InContact reports whether control has granted a renewal that was sent within
// the last lease.Config.ContactTimeout and has not fenced this member since.
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

// Leader returns the peer address to which the next renewal is sent: the control
// leader's, if it is known. It is empty before the first renewal.
func (a *Agent) Leader() string {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.renewalAddr
}

// Owned returns the unit's entry and the remaining lease if this member owns
// the unit now. Both are read under the same lock: an entry that was read before
// the member was fenced must not be combined with a lease granted afterwards.
func (a *Agent) Owned(u shard.Unit) (*table.Entry, time.Duration, bool) {
	a.mu.RLock()
	defer a.mu.RUnlock()
	e := a.view.Load().Table.Entry(u)
	remaining := a.holder.Remaining(timesource.Now())
	return e, remaining, e != nil && e.Owner == a.cfg.ID && remaining > 0
}

// Run renews at once and then at RenewInterval, and sooner after a renewal
// that was not granted or a call of RenewNow, until ctx ends. It blocks.
func (a *Agent) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-a.renewNow:
		}
		next := a.cfg.Lease.RenewInterval
		if !a.renew(ctx) {
			next = a.cfg.Lease.RenewInterval / 10
		}
		timer.Reset(next)
	}
}

// renew sends one renewal and reports whether the leader granted it. If not,
// Run retries after a tenth of the interval.
func (a *Agent) renew(ctx context.Context) bool {
	renewal, addr := a.newRenewal()
	ctx, cancel := context.WithTimeout(ctx, a.cfg.RenewTimeout)
	defer cancel()
	var reply control.RenewalReply
	if err := a.caller.Call(ctx, addr, MethodRenew, renewal, &reply); err != nil {
		a.handleRenewalError(addr, err)
		return false
	}
	a.apply(renewal, &reply)
	return reply.Status == control.RenewalGranted
}

// newRenewal returns the next renewal and the address to send it to.
func (a *Agent) newRenewal() (control.Renewal, string) {
	var report Report
	if a.reporter != nil {
		report = a.reporter.Report()
	}
	view := a.View()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.renewalAddr == "" {
		a.renewalAddr = a.cfg.Control[0].Address
	}
	a.logExpiredLease()
	return control.Renewal{
		ID: a.cfg.ID, Incarnation: a.incarnation,
		Seq:        a.holder.BeginRenewal(timesource.Now()),
		DataCentre: a.cfg.DataCentre, PeerAddr: a.cfg.PeerAddr,
		Target: report.Target, Leaving: a.leaving,
		TableRevision: view.Table.Revision(), ConfigRevision: view.ConfigRevision, DirectoryRevision: view.Directory.Revision,
		OldestTable: report.OldestTable, OldestConfig: report.OldestConfig,
		Load: report.Load, Released: report.Released, Synced: report.Synced, HotKeys: report.HotKeys, UnitLoads: report.UnitLoads,
	}, a.renewalAddr
}

// logExpiredLease logs once that the lease has expired. The caller holds mu.
func (a *Agent) logExpiredLease() {
	if a.hadLease && !a.holder.Valid(timesource.Now()) {
		a.hadLease = false
		a.log.Warnf("lease expired; no owned unit is served until it is renewed")
	}
}

// handleRenewalError selects the control replica for the next renewal. After
// an error other than *peer.NotLeaderError it also closes the connection to
// addr.
func (a *Agent) handleRenewalError(addr string, err error) {
	var nl *peer.NotLeaderError
	if errors.As(err, &nl) {
		a.setRenewalAddr(a.nextReplica(addr, a.leaderAddress(nl)))
		return
	}
	a.caller.Drop(addr)
	a.log.Debugf("renewal at %s failed: %v", addr, err)
	a.setRenewalAddr(a.nextReplica(addr, ""))
}

func (a *Agent) setRenewalAddr(addr string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.renewalAddr = addr
}

// nextReplica returns the address for the renewal after a failed one at addr:
// hint if it is another address, otherwise the next control replica's.
func (a *Agent) nextReplica(addr, hint string) string {
	if hint != "" && hint != addr {
		return hint
	}
	i := slices.IndexFunc(a.cfg.Control, func(p ControlReplica) bool { return p.Address == addr })
	return a.cfg.Control[(i+1)%len(a.cfg.Control)].Address
}

// leaderAddress returns the leader's address: from the settings if they contain
// its id, otherwise the one in the error.
func (a *Agent) leaderAddress(err *peer.NotLeaderError) string {
	for _, p := range a.cfg.Control {
		if p.ID == err.ID {
			return p.Address
		}
	}
	return err.Leader
}
