package fleetagent

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"bramleyquay.example/coord/fleet"
	"bramleyquay.example/coord/quality"
	"bramleyquay.example/coord/ranges"
	"bramleyquay.example/router/fleetnode"
	"bramleyquay.example/router/leaderclient"
	"bramleyquay.example/router/logging"
	"bramleyquay.example/router/timesource"
)

const (
	// renewInterval is the time between two renewals. Several renewals may fail
	// before a lease of some seconds ends.
	renewInterval = 400 * time.Millisecond
	// renewTimeout is the time limit of one renewal.
	renewTimeout = 800 * time.Millisecond
	// maxEndedHolders is the largest number of ended incarnations that are
	// reported with renewals.
	maxEndedHolders = 8
)

// Agent registers the process with control, renews the lease of its target and
// answers the target's announcements. It is safe for concurrent use.
type Agent struct {
	cfg          Config
	leaderClient *leaderclient.Client
	log          logging.Logger
	view         atomic.Pointer[View]
	renewNow     chan struct{}
	rates        *rateMeter
	quota        *quotaState

	mu         sync.Mutex
	target     target
	issuer     issuer
	ended      endedTarget
	departures departureState
	// started is the time of the process's start. Grants of an earlier incarnation
	// of the process may be in force for a lease after it.
	started time.Duration
	// callTimer sends the calls that are due, if ranges are granted by calls.
	callTimer    *time.Timer
	endedHolders []ranges.Holder
	leaving      bool
	connected    bool
	usage        func() Usage
	changed      chan struct{}
	quarantine   quarantineState
}

// New returns an agent with an empty view and no target.
func New(cfg Config, leaderClient *leaderclient.Client, log logging.Logger) *Agent {
	a := &Agent{
		cfg: cfg, leaderClient: leaderClient, log: log, renewNow: make(chan struct{}, 1), rates: newRateMeter(), changed: make(chan struct{}),
		started: timesource.BootTime().Mono, quota: newQuotaState(),
	}
	a.view.Store(&View{})
	return a
}

// View returns the newest view.
func (a *Agent) View() *View { return a.view.Load() }

// Changed returns a channel that is closed at the next change of the view, the
// target or the target's grant.
func (a *Agent) Changed() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.changed
}

// notifyChange closes the channel of Changed and replaces it. The caller holds
// mu.
func (a *Agent) notifyChange() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// RenewNow makes Run renew at once instead of at the next interval. It does
// not block.
func (a *Agent) RenewNow() {
	select {
	case a.renewNow <- struct{}{}:
	default:
	}
}

// Leave reports to control, from the next renewal on, that the process stops.
func (a *Agent) Leave() {
	a.mu.Lock()
	a.leaving = true
	a.mu.Unlock()
	a.RenewNow()
}

// CountRequest counts a request on a key of the target's service for the rates
// in renewals.
func (a *Agent) CountRequest(key uint16) { a.rates.count(key) }

// Run renews until ctx ends. It blocks.
func (a *Agent) Run(ctx context.Context) {
	timer := time.NewTicker(renewInterval)
	defer timer.Stop()
	for ctx.Err() == nil {
		a.renew(ctx)
		select {
		case <-timer.C:
		case <-a.renewNow:
		case <-ctx.Done():
		}
	}
}

// renew sends one renewal and applies the answer.
func (a *Agent) renew(ctx context.Context) {
	addr := a.leaderClient.NextAddress()
	if addr == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	sent := timesource.BootTime()
	renewal := a.renewal(sent.Mono)
	renewal.Quota = a.quota.report(sent.Mono, a.View())
	var reply fleet.RenewalReply
	if err := a.leaderClient.CallAt(ctx, addr, fleetnode.MethodRenew, renewal, &reply); err != nil {
		a.handleRenewalError(addr, err)
		return
	}
	if err := fleetnode.DecompressDocument(&reply); err != nil {
		a.log.Error().Str("address", addr).Err(err).Msg("answer to the renewal cannot be decoded")
		return
	}
	a.leaderClient.SetReplicas(reply.Replicas)
	a.mu.Lock()
	a.loadDepartures(reply.Departures)
	a.recordPending()
	a.mu.Unlock()
	a.apply(renewal, reply)
	if a.quota.apply(sent.Mono, reply.Quota, a.View()) {
		a.RenewNow()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.confirmQuarantineReport(reply.Revisions.Term)
	// The reply concerns the incarnation in the renewal; another one may have announced
	// itself since. The lease counts from the sending of the renewal.
	if a.issuer != nil && a.issuer.Holder() == renewal.Member.Holder() {
		if reply.TargetLeaving {
			a.setLeaving("known to control")
		}
		a.target.earlierLimit = reply.TargetLimit
		if reply.Lease > 0 {
			a.issuer.SetLease(sent, reply.Lease)
			a.sendCalls()
		}
	}
	// This is also logged at the first contact.
	if !a.connected {
		a.connected = true
		a.log.Info().Str("leader", addr).Uint64("term", reply.Revisions.Term).Msg("contact with control restored")
	}
}

// handleRenewalError logs the first failure after a successful renewal, waits
// for retryPause and requests another renewal.
func (a *Agent) handleRenewalError(addr string, err error) {
	a.mu.Lock()
	wasConnected := a.connected
	a.connected = false
	a.mu.Unlock()
	a.quota.disconnect()
	if wasConnected {
		a.log.Warn().Str("address", addr).Err(err).Msg("contact with control lost")
	}
	time.Sleep(retryPause)
	a.RenewNow()
}

// retryPause is the time between a failed renewal and the next one, which may
// go to another replica.
const retryPause = 30 * time.Millisecond

// renewal returns the next renewal. Before that it calls releaseExpired. now
// is a reading of timesource.BootTime.
func (a *Agent) renewal(now time.Duration) fleet.Renewal {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.releaseExpired(now)
	renewal := fleet.Renewal{
		Member: a.member(now), Revisions: a.view.Load().Revisions, EndedHolders: a.endedHolders, NeedsDepartures: !a.departures.loaded,
	}
	if a.usage != nil {
		u := a.usage()
		renewal.Utilization, renewal.Capacity = math.Round(100*u.Utilization)/100, math.Round(100*u.Capacity)/100
		if u.Weight != quality.Full && u.Target == renewal.Member.Holder() {
			renewal.Member.Weight = u.Weight
		}
		if u.Limit.Known && u.Target == renewal.Member.Holder() {
			renewal.Limit = &u.Limit.Rate
		}
	}
	if a.issuer != nil {
		renewal.Released = a.issuer.ReleasedRanges()
	}
	renewal.Rates = a.rates.report(now)
	renewal.Quarantine = a.quarantineReport(now, a.view.Load())
	return renewal
}

// member returns the directory entry of the process and its target. The caller
// holds mu.
func (a *Agent) member(now time.Duration) fleet.Member {
	member := fleet.Member{Process: a.cfg.Process, DataCentre: a.cfg.DataCentre, Leaving: a.leaving}
	if t := &a.target; t.id != "" {
		member.Target, member.Incarnation, member.Service, member.Slots = t.id, t.incarnation, a.cfg.Service, t.slots
		member.Condition = a.condition(now)
	}
	return member
}

// apply replaces the view by the one after a reply and applies its key ranges
// to the target's grants. sent is the renewal that was answered.
func (a *Agent) apply(sent fleet.Renewal, reply fleet.RenewalReply) {
	old := a.view.Load()
	if reply.Revisions == sent.Revisions && reply.Members == nil {
		return
	}
	next := old.apply(reply)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.view.Store(next)
	if a.issuer != nil {
		a.issuer.SetRanges(next.Keyspaces[a.cfg.Service].Ranges)
		a.sendCalls()
	}
	a.removeEndedHolders(next)
	if reply.Quarantine != nil {
		a.applyQuarantine(old, next)
	}
	if wasDrained := old.IsDrained(a.cfg.DataCentre); wasDrained && !next.IsDrained(a.cfg.DataCentre) {
		// The target may have become cold while the data centre was drained. Its
		// next announcement says for how long.
		a.target.awaitingAnnouncement = true
	}
	if next.Version() != old.Version() {
		a.log.Info().Uint64("version", next.Version()).Uint64("before", old.Version()).Uint64("revision", reply.Revisions.Document).Msg("document applied")
	}
	if next.Revisions.Ranges != old.Revisions.Ranges {
		a.log.Info().Uint64("revision", next.Revisions.Ranges).Uint64("before", old.Revisions.Ranges).Msg("key ranges applied")
	}
	if reply.Drained != nil && next.Revisions.Drain != old.Revisions.Drain {
		a.log.Info().Strs("drained", next.Drained).Uint64("revision", next.Revisions.Drain).Msg("drained data centres applied")
	}
	if reply.Members != nil {
		a.log.Info().Int("members", len(next.Members)).Uint64("directory", reply.Revisions.Directory).Uint64("term", reply.Revisions.Term).
			Bool("settled", reply.MembersComplete).Msg("directory applied")
	}
	a.notifyChange()
}

// removeEndedHolders removes ended incarnations to which no range is assigned
// any more. The caller holds mu.
func (a *Agent) removeEndedHolders(v *View) {
	assigned := map[ranges.Holder]bool{}
	for _, r := range v.Keyspaces[a.cfg.Service].Ranges {
		assigned[r.Holder] = true
	}
	var remaining []ranges.Holder
	for _, h := range a.endedHolders {
		if assigned[h] {
			remaining = append(remaining, h)
		}
	}
	a.endedHolders = remaining
}

// Service returns the service of the process's target.
func (a *Agent) Service() string { return a.cfg.Service }

// DataCentre returns the data centre of the process.
func (a *Agent) DataCentre() string { return a.cfg.DataCentre }

// Process returns the peer address of the process.
func (a *Agent) Process() string { return a.cfg.Process }
