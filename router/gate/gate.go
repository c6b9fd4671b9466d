// Package gate implements the gate of control mode, the mode with hashed shards:
// the role that checks ownership and limits right before a request is dispatched
// to a target. All requests to the target pass through the gate of its sidecar
// process.
package gate

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"bramleyquay.example/coord/admission"
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
	"bramleyquay.example/router/logging"
	"bramleyquay.example/router/member"
)

// Membership is the part of the member agent that the gate uses.
type Membership interface {
	View() *member.View
	// Owned returns the unit's table entry, nil if there is none, the remaining
	// lease, and whether this member owns the unit with a valid lease.
	Owned(shard.Unit) (*table.Entry, time.Duration, bool)
	// LeaseRemaining returns the time for which the lease is still valid, or zero if
	// it is not.
	LeaseRemaining() time.Duration
	// InContact reports whether control has granted a renewal that was sent within
	// the contact timeout.
	InContact() bool
	// RenewNow makes the agent renew at once. It does not block.
	RenewNow()
}

// Gate checks and dispatches the requests to the target of its process. Its
// methods may be called concurrently.
type Gate struct {
	cfg      Config
	members  Membership
	log      logging.Logger
	units    *units
	limiter  *blockingLimiter
	payments *paymentRecords
	rates    *rates
	target   atomic.Pointer[target]
	// announced is the time of the target's last announcement, in Unix nanoseconds.
	announced atomic.Int64
	// incarnation is that of the target that announced itself last, even if it is
	// gone at the moment.
	incarnation atomic.Uint64
	// grantRequests makes RunGrants send a grant at once, for example to a target
	// that has just announced itself.
	grantRequests chan struct{}

	// leaseMu guards leaseCtx, the context of requests that depend on the lease.
	leaseMu     sync.Mutex
	leaseCtx    context.Context
	leaseCancel context.CancelFunc

	// applied is the configuration that the limiter runs with.
	appliedMu sync.Mutex
	applied   admission.Config
}

// New returns a gate without a target. client writes the idempotency records of
// payments to other members and fetches them.
func New(cfg Config, members Membership, client PeerClient, log logging.Logger) *Gate {
	g := &Gate{
		cfg: cfg, members: members, log: log,
		units:         newUnits(cfg.Self, members.View()),
		limiter:       newBlockingLimiter(admission.Config{Slots: 1}),
		rates:         newRates(),
		grantRequests: make(chan struct{}, 1),
	}
	g.payments = newPaymentRecords(g, client)
	g.leaseCtx, g.leaseCancel = context.WithCancel(context.Background())
	return g
}

// checkInterval is the time between two checks of the lease and of the
// announcements, and between two ticks of records and rates. Requests that depend
// on the lease may run on for as long after it has expired.
const checkInterval = 10 * time.Millisecond

// Run checks the lease and the target's announcements and drives the timers of
// records and rates. It blocks until ctx ends.
func (g *Gate) Run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	held := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		valid := g.members.LeaseRemaining() > 0
		if held && !valid {
			g.cancelOwned()
		}
		held = valid
		g.checkAnnouncements()
		g.payments.tick()
		g.rates.tick()
	}
}

// checkAnnouncements drops the target if it has not announced itself within
// AnnounceTimeout: it is frozen or gone, and its units must move to other targets.
func (g *Gate) checkAnnouncements() {
	timeout := g.cfg.AnnounceTimeout
	if timeout == 0 || time.Since(time.Unix(0, g.announced.Load())) < timeout {
		return
	}
	if t := g.target.Load(); t != nil {
		g.dropTarget(t, "it has not announced itself for "+timeout.String())
	}
}

// dropTarget cancels the requests at a target and reports it as gone until it
// announces itself again. It does nothing if t is not the current target.
func (g *Gate) dropTarget(t *target, why string) {
	if !g.target.CompareAndSwap(t, nil) {
		return
	}
	g.log.Warnf("target at %s is gone: %s", t.Address, why)
	t.close()
	g.members.RenewNow()
}

// cancelOwned cancels the requests that depend on the lease, which has expired.
func (g *Gate) cancelOwned() {
	if n := g.units.total(); n > 0 {
		g.log.Warnf("lease expired; %d requests in progress are cancelled", n)
	}
	g.leaseMu.Lock()
	defer g.leaseMu.Unlock()
	g.leaseCancel()
	g.leaseCtx, g.leaseCancel = context.WithCancel(context.Background())
}

// leaseContext returns the context that is cancelled when the lease expires.
func (g *Gate) leaseContext() context.Context {
	g.leaseMu.Lock()
	defer g.leaseMu.Unlock()
	return g.leaseCtx
}

// ApplyView applies a new view of the cluster to the limits, units and records.
func (g *Gate) ApplyView(v *member.View) {
	g.configure(v)
	released := g.units.applyView(v)
	g.payments.applyView(v, g.assignments(v))
	if released {
		g.members.RenewNow()
	}
}

// configure applies the limits of the target's service.
func (g *Gate) configure(v *member.View) {
	t := g.target.Load()
	if t == nil || v.Document == nil {
		return
	}
	s := v.Document.Service(t.Service)
	if s == nil {
		return
	}
	cfg := limits(s, t.Slots)
	g.appliedMu.Lock()
	defer g.appliedMu.Unlock()
	if cfg != g.applied {
		g.applied = cfg
		g.limiter.configure(cfg)
	}
}

// Announce makes the target of an announcement the current one. An announcement
// equal to that of the current target only renews its time; any other cancels the
// requests at the current target. Announce returns the reason for which it refuses
// the announcement, or "".
func (g *Gate) Announce(a Announcement) string {
	if problem := a.validate(); problem != "" {
		return problem
	}
	if g.cfg.RequireFences && !a.ChecksFences {
		return "the settings of this process require a target that checks fences"
	}
	g.announced.Store(time.Now().UnixNano())
	old := g.target.Load()
	if old != nil && old.Announcement == a {
		return ""
	}
	g.target.Store(newTarget(a))
	g.configure(g.members.View())
	if g.incarnation.Swap(a.Incarnation) != a.Incarnation {
		g.log.Infof("target of service %s at %s announced itself, incarnation %x; it is treated as cold", a.Service, a.Address, a.Incarnation)
		g.limiter.targetStarted(a.Incarnation)
	}
	if old != nil {
		old.close()
	}
	g.members.RenewNow()
	g.requestGrant()
	return ""
}
