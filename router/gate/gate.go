// Package gate is the only way to a target: it checks ownership and limits
// immediately before a request is dispatched.
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

// Membership is what the gate needs of the member agent.
type Membership interface {
	View() *member.View
	Owned(shard.Unit) (*table.Entry, time.Duration, bool)
	LeaseRemaining() time.Duration
	InContact() bool
	RenewNow()
}

// Gate guards the target beside its process.
type Gate struct {
	cfg      Config
	members  Membership
	log      logging.Logger
	units    *units
	slots    *admitter
	payments *payments
	rates    *rates
	target   atomic.Pointer[target]
	// announced is when the target announced itself last.
	announced atomic.Int64
	// incarnation is the last target's, which may be gone for the moment.
	incarnation atomic.Uint64
	// grantNow asks for a grant at once, for a target that has just arrived.
	grantNow chan struct{}

	// leaseMu guards the context of requests that depend on the lease.
	leaseMu     sync.Mutex
	leaseCtx    context.Context
	leaseCancel context.CancelFunc

	// applied is the configuration that the limiter has.
	appliedMu sync.Mutex
	applied   admission.Config
}

// New returns a gate without a target. caller reaches other members for the
// copies of payment records.
func New(cfg Config, members Membership, caller PeerClient, log logging.Logger) *Gate {
	g := &Gate{
		cfg: cfg, members: members, log: log,
		units:    newUnits(cfg.Self, members.View()),
		slots:    newAdmitter(admission.Config{Slots: 1}),
		rates:    newRates(),
		grantNow: make(chan struct{}, 1),
	}
	g.payments = newPayments(g, caller)
	g.leaseCtx, g.leaseCancel = context.WithCancel(context.Background())
	return g
}

// leaseWatch is the time between two looks at the lease while requests that
// depend on it may run.
const leaseWatch = 10 * time.Millisecond

// Run watches the lease and the records until ctx ends.
func (g *Gate) Run(ctx context.Context) {
	ticker := time.NewTicker(leaseWatch)
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
		g.checkTarget()
		g.payments.tick()
		g.rates.tick()
	}
}

// checkTarget gives up a target that has fallen silent: it is frozen or gone,
// and its units must move to other targets.
func (g *Gate) checkTarget() {
	silence := g.cfg.AnnounceTimeout
	if silence == 0 || time.Since(time.Unix(0, g.announced.Load())) < silence {
		return
	}
	if t := g.target.Load(); t != nil {
		g.loseTarget(t, "it has not announced itself for "+silence.String())
	}
}

// loseTarget ends the requests at a target and reports it as gone, until it
// announces itself again.
func (g *Gate) loseTarget(t *target, why string) {
	if !g.target.CompareAndSwap(t, nil) {
		return
	}
	g.log.Warnf("target at %s is gone: %s", t.Address, why)
	t.close()
	g.members.RenewNow()
}

// cancelOwned ends the requests that run under the lease.
func (g *Gate) cancelOwned() {
	if n := g.units.total(); n > 0 {
		g.log.Warnf("lease expired; %d requests in progress are cancelled", n)
	}
	g.leaseMu.Lock()
	defer g.leaseMu.Unlock()
	g.leaseCancel()
	g.leaseCtx, g.leaseCancel = context.WithCancel(context.Background())
}

func (g *Gate) leaseContext() context.Context {
	g.leaseMu.Lock()
	defer g.leaseMu.Unlock()
	return g.leaseCtx
}

// ApplyView takes over a new view of the cluster.
func (g *Gate) ApplyView(v *member.View) {
	g.configure(v)
	released := g.units.follow(v)
	g.payments.follow(v, g.assignments(v))
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
		g.slots.configure(cfg)
	}
}

// Announce takes over a target that announced itself. It returns what is
// wrong with the announcement, or "".
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
		g.log.Infof("target of service %s at %s announced, incarnation %x; it counts as cold", a.Service, a.Address, a.Incarnation)
		g.slots.targetStarted(a.Incarnation)
	}
	if old != nil {
		old.close()
	}
	g.members.RenewNow()
	g.requestGrant()
	return ""
}
