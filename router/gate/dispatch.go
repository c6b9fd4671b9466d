package gate

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"bramleyquay.example/coord/admission"
	"bramleyquay.example/coord/outcome"
	"bramleyquay.example/router/call"
)

// permit allows one dispatch.
type permit struct {
	target *target
	// entered is zero for a call that is not sharded.
	entered entered
	epoch   uint64
	// timeout never exceeds the remaining lease for a sharded call.
	timeout time.Duration
	// lease is cancelled when the lease expires; nil for calls without unit.
	lease context.Context
	// free must be called once with the target's service time, leave once when
	// the request surely runs no more.
	free  func(admission.Sample)
	leave func()
}

// end frees the slot. A target that gave no whole answer may still run the
// request until the deadline that it was given, so the key counts as running
// until then and its unit does not move before.
func (p *permit) end(s admission.Sample, mayRun bool, begin time.Time) {
	p.free(s)
	if rest := p.timeout - time.Since(begin); mayRun && rest > 0 && p.entered.unit.Keyspace != "" {
		time.AfterFunc(rest, p.leave)
		return
	}
	p.leave()
}

// dispatch sends the call to the target and returns its answer.
func (g *Gate) dispatch(ctx context.Context, c *call.Call, p *permit) (*call.Response, *outcome.Refusal) {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	stop := context.AfterFunc(p.target.ctx, cancel)
	if p.lease != nil {
		stopLease := context.AfterFunc(p.lease, cancel)
		stopTarget := stop
		stop = func() bool { stopLease(); return stopTarget() }
	}
	inner := cancel
	cancel = func() { stop(); inner() }
	ctx, connections := call.WatchConnections(ctx, cancel)
	begin := time.Now()
	resp, err := p.target.transport.RoundTrip(targetRequest(ctx, c, p))
	sample := admission.Sample{ServiceTime: time.Since(begin), Failed: err != nil}
	if err != nil {
		cancel()
		if !connections.Any() && errors.Is(err, syscall.ECONNREFUSED) {
			g.loseTarget(p.target, "it refuses connections")
		}
		p.end(sample, connections.Any(), begin)
		return nil, targetError(err, connections.Any())
	}
	refusal := refusedByTarget(resp)
	if refusal == nil && resp.StatusCode < http.StatusOK {
		// No upgrade is passed on, and net/http cannot send other such answers.
		_ = resp.Body.Close()
		sample.Failed = true
		refusal = outcome.NewUnknown(outcome.ReasonUpstreamBroken, "the target's answer is not a final one: "+resp.Status)
	}
	if refusal != nil {
		if refusal.Reason == outcome.ReasonLeaseExpired {
			g.requestGrant()
		}
		cancel()
		p.end(sample, refusal.Outcome != outcome.NotRun, begin)
		return nil, refusal
	}
	return &call.Response{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength,
		Body: &answerBody{inner: resp.Body, cancel: cancel, done: func(failed bool) {
			sample.Failed = failed
			p.end(sample, failed, begin)
		}},
	}, nil
}

func targetRequest(ctx context.Context, c *call.Call, p *permit) *http.Request {
	req := c.NewRequest(ctx, p.target.Address)
	call.SetIdempotencyKey(req.Header, c.IdempotencyKey)
	req.Header.Set(call.HeaderTimeout, strconv.FormatInt(max(p.timeout.Milliseconds(), 1), 10))
	// The absolute time lets a target that was frozen recognise a request that
	// waited in its connection meanwhile.
	req.Header.Set(call.HeaderDeadline, strconv.FormatInt(time.Now().Add(p.timeout).UnixMilli(), 10))
	if c.Key != "" {
		req.Header.Set(call.HeaderKey, c.Key)
	}
	if p.entered.unit.Keyspace != "" {
		req.Header.Set(call.HeaderUnit, p.entered.unit.String())
		req.Header.Set(call.HeaderEpoch, strconv.FormatUint(p.epoch, 10))
	}
	return req
}

// targetError says what a failed exchange means. Without a connection no byte
// can have reached the target.
func targetError(err error, sent bool) *outcome.Refusal {
	if !sent {
		return outcome.NewNotRun(outcome.ReasonConnectionFailed, "no connection to the target: "+err.Error())
	}
	return outcome.NewUnknown(outcome.ReasonConnectionFailed, "the target did not answer: "+err.Error())
}

// refusedByTarget returns the refusal of a target that states that it did not
// run the request. A conflict means that the request is outside of the target's
// grant, which a new grant resolves; other refusals shed load.
func refusedByTarget(resp *http.Response) *outcome.Refusal {
	if resp.Header.Get(call.HeaderOutcome) != string(outcome.NotRun) {
		return nil
	}
	defer resp.Body.Close()
	_, _ = io.CopyN(io.Discard, resp.Body, 4<<10) // lets the connection be used again
	if resp.StatusCode == http.StatusConflict {
		return outcome.NewNotRun(outcome.ReasonLeaseExpired, "the target's grant has ended or names a later epoch")
	}
	return outcome.NewNotRun(outcome.ReasonTargetRefused, "the target refused the request: "+resp.Status)
}

// answerBody frees the slot when the target's answer has been read, and not
// only when the caller has taken it.
type answerBody struct {
	inner  io.ReadCloser
	cancel context.CancelFunc
	done   func(failed bool)
	once   sync.Once
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.inner.Read(p)
	if err != nil {
		b.finish(err != io.EOF)
	}
	return n, err
}

// Close implements io.Closer.
func (b *answerBody) Close() error {
	err := b.inner.Close()
	b.finish(false)
	return err
}

func (b *answerBody) finish(failed bool) {
	b.once.Do(func() {
		b.done(failed)
		b.cancel()
	})
}
