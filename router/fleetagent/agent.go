package fleetagent

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"bramleyquay.example/coord/fleet"
	"bramleyquay.example/coord/grant"
	"bramleyquay.example/coord/ranges"
	"bramleyquay.example/router/fleetnode"
	"bramleyquay.example/router/leaderclient"
	"bramleyquay.example/router/logging"
	"bramleyquay.example/router/timesource"
)

// Config describes the process.
type Config struct {
	// Process is the peer address of the process.
	Process    string
	DataCentre string
	// Service and Address are those of the target beside the process.
	Service, Address string
	// AnnounceInterval is the usual time between two announcements of the
	// target.
	AnnounceInterval time.Duration
	Hold             grant.Config
}

const (
	// renewInterval is the time between two renewals. It lets several be lost
	// within a lease of some seconds.
	renewInterval = 400 * time.Millisecond
	// renewTimeout bounds one renewal.
	renewTimeout = 800 * time.Millisecond
	// maxEnded bounds the lives of earlier targets that renewals repeat.
	maxEnded = 8
)

// Agent is safe for concurrent use.
type Agent struct {
	cfg     Config
	leaders *leaderclient.Client
	log     logging.Logger
	view    atomic.Pointer[View]
	wake    chan struct{}
	rates   *meter

	mu      sync.Mutex
	target  target
	issuer  *grant.Issuer
	ended   []ranges.Holder
	leaving bool
	touched bool
	usage   func() (busy, capacity float64)
	changed chan struct{}
}

// New returns an agent that knows nothing.
func New(cfg Config, leaders *leaderclient.Client, log logging.Logger) *Agent {
	a := &Agent{cfg: cfg, leaders: leaders, log: log, wake: make(chan struct{}, 1), rates: newMeter(), changed: make(chan struct{})}
	a.view.Store(&View{})
	return a
}

// View returns the newest view.
func (a *Agent) View() *View { return a.view.Load() }

// Changed returns a channel that is closed at the next change of the view, the
// target or what the target holds.
func (a *Agent) Changed() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.changed
}

func (a *Agent) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// RenewNow renews at once instead of at the next interval.
func (a *Agent) RenewNow() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Leave tells control that the process stops.
func (a *Agent) Leave() {
	a.mu.Lock()
	a.leaving = true
	a.mu.Unlock()
	a.RenewNow()
}

// SetUsage sets the source of what renewals say of the target's load: the busy
// share of its slots and the rate that it could serve. It is called before Run.
func (a *Agent) SetUsage(f func() (busy, capacity float64)) { a.usage = f }

// CountRequest counts a request on a key of the target's service.
func (a *Agent) CountRequest(key uint16) { a.rates.count(key) }

// Run renews until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	timer := time.NewTicker(renewInterval)
	defer timer.Stop()
	for ctx.Err() == nil {
		a.renew(ctx)
		select {
		case <-timer.C:
		case <-a.wake:
		case <-ctx.Done():
		}
	}
}

// renew sends one renewal and applies the answer.
func (a *Agent) renew(ctx context.Context) {
	addr := a.leaders.NextAddress()
	if addr == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	sent := timesource.BootTime()
	r := a.renewal(sent.Mono)
	var reply fleet.RenewalReply
	if err := a.leaders.CallAt(ctx, addr, fleetnode.MethodRenew, r, &reply); err != nil {
		a.lost(addr, err)
		return
	}
	if err := fleetnode.DecompressDocument(&reply); err != nil {
		a.log.Error().Str("address", addr).Err(err).Msg("renewal's answer cannot be read")
		return
	}
	a.leaders.SetReplicas(reply.Replicas)
	a.apply(r, reply)
	a.mu.Lock()
	defer a.mu.Unlock()
	if reply.Lease > 0 && a.issuer != nil && a.issuer.Holder() == r.Member.Holder() {
		a.issuer.SetLease(sent, reply.Lease)
	}
	if !a.touched {
		a.touched = true
		a.log.Info().Str("leader", addr).Uint64("term", reply.Revisions.Term).Msg("control regained")
	}
}

func (a *Agent) lost(addr string, err error) {
	a.mu.Lock()
	lost := a.touched
	a.touched = false
	a.mu.Unlock()
	if lost {
		a.log.Warn().Str("address", addr).Err(err).Msg("control lost")
	}
	time.Sleep(lostPause)
	a.RenewNow()
}

// lostPause lies between two attempts to find the leader.
const lostPause = 30 * time.Millisecond

func (a *Agent) renewal(now time.Duration) fleet.Renewal {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expire(now)
	r := fleet.Renewal{Member: a.member(now), Revisions: a.view.Load().Revisions, EndedHolders: a.ended}
	if a.usage != nil {
		busy, capacity := a.usage()
		r.Utilization, r.Capacity = math.Round(100*busy)/100, math.Round(100*capacity)/100
	}
	if a.issuer != nil {
		r.Released = a.issuer.ReleasedRanges()
	}
	r.Rates = a.rates.report(now)
	return r
}

func (a *Agent) member(now time.Duration) fleet.Member {
	m := fleet.Member{Process: a.cfg.Process, DataCentre: a.cfg.DataCentre, Leaving: a.leaving}
	if t := &a.target; t.id != "" {
		m.Target, m.Incarnation, m.Service, m.Slots = t.id, t.life, a.cfg.Service, t.slots
		m.Condition = a.condition(now)
	}
	return m
}

// apply puts a reply's parts into force.
func (a *Agent) apply(r fleet.Renewal, reply fleet.RenewalReply) {
	old := a.view.Load()
	if reply.Revisions == r.Revisions && reply.Members == nil {
		return
	}
	next := old.with(reply)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.view.Store(next)
	if a.issuer != nil {
		a.issuer.SetRanges(next.Keyspaces[a.cfg.Service].Ranges)
	}
	a.dropEnded(next)
	if wasDrained := old.IsDrained(a.cfg.DataCentre); wasDrained && !next.IsDrained(a.cfg.DataCentre) {
		// The targets may have become cold meanwhile; the next announcement tells.
		a.target.unsure = true
	}
	if next.Version() != old.Version() {
		a.log.Info().Uint64("version", next.Version()).Uint64("before", old.Version()).Uint64("revision", reply.Revisions.Document).Msg("document applied")
	}
	if next.Revisions.Ranges != old.Revisions.Ranges {
		a.log.Info().Uint64("revision", next.Revisions.Ranges).Uint64("before", old.Revisions.Ranges).Msg("key rows applied")
	}
	if reply.Drained != nil && next.Revisions.Drain != old.Revisions.Drain {
		a.log.Info().Strs("drained", next.Drained).Uint64("revision", next.Revisions.Drain).Msg("drains applied")
	}
	if reply.Members != nil {
		a.log.Info().Int("members", len(next.Members)).Uint64("directory", reply.Revisions.Directory).Uint64("term", reply.Revisions.Term).
			Bool("settled", reply.MembersComplete).Msg("directory applied")
	}
	a.notify()
}

// dropEnded forgets earlier lives that hold no row any more.
func (a *Agent) dropEnded(v *View) {
	holding := map[ranges.Holder]bool{}
	for _, r := range v.Keyspaces[a.cfg.Service].Ranges {
		holding[r.Holder] = true
	}
	var kept []ranges.Holder
	for _, h := range a.ended {
		if holding[h] {
			kept = append(kept, h)
		}
	}
	a.ended = kept
}

// Service returns the service of the target beside the process.
func (a *Agent) Service() string { return a.cfg.Service }

// DataCentre returns the data centre of the process.
func (a *Agent) DataCentre() string { return a.cfg.DataCentre }

// Process returns the peer address of the process.
func (a *Agent) Process() string { return a.cfg.Process }
