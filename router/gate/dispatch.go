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

// permit allows one dispatch of a request to the target.
type permit struct {
	target *target
	// running is the counted request; it is zero for a call that is not sharded.
	running runningRequest
	epoch   uint64
	// timeout never exceeds the remaining lease for a sharded call.
	timeout time.Duration
	// lease is cancelled when the lease expires; it is nil for calls without a unit.
	lease context.Context
	// freeSlot must be called once with the target's service time, and leaveUnit
	// once when the request certainly no longer runs.
	freeSlot  func(admission.Sample)
	leaveUnit func()
}

// end frees the slot and calls leaveUnit. If mayRun is set, the target gave no
// complete answer and may run the request until the deadline in its headers;
// leaveUnit is called only then, so that the unit of the key does not move before.
// begin is the time of dispatch.
func (p *permit) end(s admission.Sample, mayRun bool, begin time.Time) {
	p.freeSlot(s)
	if rest := p.timeout - time.Since(begin); mayRun && rest > 0 && p.running.unit.Keyspace != "" {
		time.AfterFunc(rest, p.leaveUnit)
		return
	}
	p.leaveUnit()
}

// dispatch sends the call to the target and returns its answer as soon as the
// header has arrived. The exchange is cancelled when ctx ends, at the deadline,
// when the lease of a sharded call expires, and when the target is gone. The slot
// is freed when the answer's body has been read or closed.
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
			g.dropTarget(p.target, "it refuses connections")
		}
		p.end(sample, connections.Any(), begin)
		return nil, targetError(err, connections.Any())
	}
	if refusal := refusedByTarget(resp); refusal != nil {
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

// targetRequest returns the HTTP request for the target, with the headers that
// state key, unit, epoch and deadline.
func targetRequest(ctx context.Context, c *call.Call, p *permit) *http.Request {
	req := c.NewRequest(ctx, p.target.Address)
	call.SetIdempotencyKey(req.Header, c.IdempotencyKey)
	req.Header.Set(call.HeaderTimeout, strconv.FormatInt(max(p.timeout.Milliseconds(), 1), 10))
	// By the absolute time a target that was frozen recognises a request that
	// waited in its connection's buffer meanwhile.
	req.Header.Set(call.HeaderDeadline, strconv.FormatInt(time.Now().Add(p.timeout).UnixMilli(), 10))
	if c.Key != "" {
		req.Header.Set(call.HeaderKey, c.Key)
	}
	if p.running.unit.Keyspace != "" {
		req.Header.Set(call.HeaderUnit, p.running.unit.String())
		req.Header.Set(call.HeaderEpoch, strconv.FormatUint(p.epoch, 10))
	}
	return req
}

// targetError returns the refusal for a failed exchange. Without a connection no
// byte can have reached the target.
func targetError(err error, connected bool) *outcome.Refusal {
	if !connected {
		return outcome.NewNotRun(outcome.ReasonConnectionFailed, "no connection to the target: "+err.Error())
	}
	return outcome.NewUnknown(outcome.ReasonConnectionFailed, "the target did not answer: "+err.Error())
}

// refusedByTarget returns the refusal of a target that states that it did not run
// the request, and nil for other answers. Status 409 means that the target's grant
// does not cover the request, which a new grant resolves; with other statuses the
// target sheds load. The body of a refusal is closed.
func refusedByTarget(resp *http.Response) *outcome.Refusal {
	if resp.Header.Get(call.HeaderOutcome) != string(outcome.NotRun) {
		return nil
	}
	defer resp.Body.Close()
	_, _ = io.CopyN(io.Discard, resp.Body, 4<<10) // allows reuse of the connection
	if resp.StatusCode == http.StatusConflict {
		return outcome.NewNotRun(outcome.ReasonLeaseExpired, "the target's grant has ended or names a later epoch")
	}
	return outcome.NewNotRun(outcome.ReasonTargetRefused, "the target refused the request: "+resp.Status)
}

// answerBody is the body of a target's answer. It frees the slot once: when the
// body has been read to its end, a read has failed, or the body is closed. The slot
// can thus be free before the caller has received the whole answer. Only a failed
// read counts as a failure: after a body was closed before its end, the request
// counts as ended at once, although the target may still run it.
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
