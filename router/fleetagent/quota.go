package fleetagent

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"sync"
	"time"

	"bramleyquay.example/coord/fleet"
	"bramleyquay.example/coord/quota"
	"bramleyquay.example/coord/routes"
	"bramleyquay.example/router/timesource"
)

// earlyRenewalInterval is the least time between two renewals that are sent early because
// a request waits for a token. It bounds what the waiting requests of one process cost the
// leader and the links; most requests may wait for 150 ms.
const earlyRenewalInterval = 100 * time.Millisecond

// quotaState is what the process holds of the limits of accounts. It has a mutex of its
// own, since every request takes it.
type quotaState struct {
	mu     sync.Mutex
	holder *quota.Holder
	// routes is the table whose limits the holder has.
	routes *routes.Table
	// replied is closed at the next reply.
	replied chan struct{}
	// connected is set while renewals succeed.
	connected bool
	// lastEarly is the time of the last early renewal; early is set while one is due.
	lastEarly time.Duration
	early     bool
	metrics   quotaMetrics
}

// newQuotaState returns the state of a process that holds nothing.
func newQuotaState() *quotaState {
	var random [8]byte
	_, _ = rand.Read(random[:]) // never fails, by its documentation
	incarnation := max(binary.BigEndian.Uint64(random[:]), 1)
	return &quotaState{holder: quota.NewHolder(quota.DefaultConfig(), incarnation), replied: make(chan struct{}), metrics: quotaMetrics{}}
}

// TakeQuota takes one request of an account's limit. It waits for at most maxWait for
// a token from the leader, if that may have one. If ok is false, retryAfter is the
// expected time until a request of the account can be accepted. It returns true for
// accounts without a limit.
func (a *Agent) TakeQuota(ctx context.Context, account string, maxWait time.Duration) (ok bool, retryAfter time.Duration) {
	q := a.quota
	q.mu.Lock()
	defer q.mu.Unlock()
	start := timesource.BootTime().Mono
	q.update(start, a.View())
	if !q.holder.HasLimit(account) {
		return true, 0
	}
	q.holder.Request(start, account)
	if q.holder.Take(start, account) || q.mayWait(start, account) && a.awaitQuota(ctx, account, start+maxWait) {
		if q.holder.ShouldRenew(account) {
			a.renewEarly(timesource.BootTime().Mono)
		}
		return true, 0
	}
	return false, q.holder.RetryAfter(timesource.BootTime().Mono, account)
}

// mayWait reports whether a request without a token waits for the next renewal. Without
// contact to control only those wait whose process has no allotment yet. The caller holds
// mu.
func (q *quotaState) mayWait(now time.Duration, account string) bool {
	return q.holder.MayGetToken(now, account) && (q.connected || !q.holder.HasAllotment(now, account))
}

// awaitQuota renews early and waits for a token until deadline. The caller holds the
// quota's mutex, which is released in the meantime.
func (a *Agent) awaitQuota(ctx context.Context, account string, deadline time.Duration) bool {
	q := a.quota
	q.holder.AddWaiting(account, 1)
	defer func() { q.holder.AddWaiting(account, -1) }()
	for {
		now := timesource.BootTime().Mono
		if q.holder.Take(now, account) {
			return true
		}
		if now >= deadline || ctx.Err() != nil || !q.holder.MayGetToken(now, account) {
			return false
		}
		a.renewEarly(now)
		replied := q.replied
		q.mu.Unlock()
		timer := time.NewTimer(deadline - now)
		select {
		case <-replied:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		q.mu.Lock()
	}
}

// renewEarly makes Run renew, at most once in earlyRenewalInterval. The caller holds the
// quota's mutex.
func (a *Agent) renewEarly(now time.Duration) {
	q := a.quota
	if q.early {
		return
	}
	q.early = true
	time.AfterFunc(max(q.lastEarly+earlyRenewalInterval-now, 0), func() {
		q.mu.Lock()
		q.early, q.lastEarly = false, timesource.BootTime().Mono
		q.mu.Unlock()
		a.RenewNow()
	})
}

// RefundQuota gives back what TakeQuota took for a request that ran at no target.
func (a *Agent) RefundQuota(account string) {
	q := a.quota
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.holder.HasLimit(account) {
		q.holder.Refund(timesource.BootTime().Mono, account)
	}
}

// LeaveQuota gives up what the process may admit of the limits of accounts, and waits until
// control knows it or ctx ends. It is for the end of a planned stop: control gives the part
// of a process that is lost to no one else until it has expired.
func (a *Agent) LeaveQuota(ctx context.Context) {
	q := a.quota
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.holder.IsActive(timesource.BootTime().Mono) {
		return
	}
	q.holder.Leave()
	for !q.holder.HasLeft() && ctx.Err() == nil {
		replied := q.replied
		q.mu.Unlock()
		a.RenewNow()
		select {
		case <-replied:
		case <-ctx.Done():
		}
		q.mu.Lock()
	}
}

// update gives the holder the limits of the view. The caller holds mu.
func (q *quotaState) update(now time.Duration, v *View) {
	if v.Routes == q.routes {
		return
	}
	q.routes = v.Routes
	q.holder.SetLimits(now, fleet.QuotaLimits(v.document()))
	q.metrics.setAccounts(q, v.document())
}

// report returns the part of a renewal that concerns limits, nil without any.
func (q *quotaState) report(now time.Duration, v *View) *quota.Report {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.update(now, v)
	if !q.holder.IsActive(now) {
		return nil
	}
	report := q.holder.Report(now)
	return &report
}

// apply applies the reply to a renewal that was sent at the time sent, after its document
// was applied. It reports whether the process should renew at once.
func (q *quotaState) apply(sent time.Duration, reply *quota.Reply, v *View) (renewNow bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := timesource.BootTime().Mono
	q.connected = true
	q.update(now, v)
	if reply != nil {
		renewNow = q.holder.Apply(now, sent, *reply)
	}
	close(q.replied)
	q.replied = make(chan struct{})
	return renewNow
}

// disconnect records that a renewal failed.
func (q *quotaState) disconnect() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.connected = false
}
