package fleetagent

import (
	"context"
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/grant"
	"bramleyquay.example/router/timesource"
)

// GrantCaller sends calls to the target. It is called concurrently.
type GrantCaller interface {
	// CallTarget sends one call and blocks until its end is known or ctx ends. A call
	// that is cut off by ctx must not arrive later.
	CallTarget(ctx context.Context, call grant.Call) grant.CallResult
	// Resume lets calls be sent after the connection was lost: the target has announced
	// itself since.
	Resume()
}

// minCallPause bounds the rate at which the due calls are looked for.
const minCallPause = 10 * time.Millisecond

// sendCalls sends the calls that are due, and sets the timer for the next ones. It
// does nothing if ranges are granted in the answers to announcements. The caller holds mu.
func (a *Agent) sendCalls() {
	requester, ok := a.issuer.(*grant.Requester)
	if !ok {
		return
	}
	now := timesource.BootTime()
	if !a.target.awaitsCalls {
		for _, c := range requester.NextCalls(now) {
			go a.runCall(requester, c)
		}
	}
	if released := requester.ReleaseExpired(now); released > 0 {
		a.RenewNow()
	}
	a.scheduleCalls(requester, now)
}

// scheduleCalls sets the timer for the next call of sendCalls. The caller holds mu.
func (a *Agent) scheduleCalls(requester *grant.Requester, now clock.Reading) {
	due, ok := requester.NextDue(now)
	if !ok || a.target.awaitsCalls {
		return
	}
	wait := max(due-now.Mono, minCallPause)
	if a.callTimer == nil {
		a.callTimer = time.AfterFunc(wait, func() {
			a.mu.Lock()
			defer a.mu.Unlock()
			a.sendCalls()
		})
		return
	}
	a.callTimer.Reset(wait)
}

// runCall sends a call and applies its result. If the target has closed the
// connection, it may have been restarted, and gets no calls until its next
// announcement: a later incarnation must not get a fence that an earlier one had.
func (a *Agent) runCall(requester *grant.Requester, c grant.Call) {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	result := a.cfg.Request.Caller.CallTarget(ctx, c)
	cancel()
	if result.Refused {
		a.RecordUnreachable(true)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	requester.HandleResult(timesource.BootTime(), c.ID, result)
	a.logCall(c, result)
	if a.issuer != issuer(requester) {
		return
	}
	a.target.awaitsCalls = a.target.awaitsCalls || result.ConnectionLost
	a.sendCalls()
	a.notifyChange()
}

// logCall logs a call that changes which keys the target holds, or that failed.
func (a *Agent) logCall(c grant.Call, result grant.CallResult) {
	entry := a.log.Debug()
	switch {
	case result.Outcome != grant.CallDone:
		entry = a.log.Warn()
	case c.Kind == grant.ReleaseCall:
		entry = a.log.Info()
	}
	entry.Str("target", c.Target).Str("call", string(c.Kind)).Uint16("from", c.Range.From).Uint16("to", c.Range.To).Uint64("fence", c.Range.Fence).
		Dur("hold", c.Duration).Str("outcome", string(result.Outcome)).AnErr("cause", result.Cause).Msg("call to the target ended")
}
