package gate

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"bramleyquay.example/coord/admission"
	"bramleyquay.example/coord/outcome"
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/router/call"
)

// permit allows one dispatch.
type permit struct {
	target *target
	unit   shard.Unit
	epoch  uint64
	// timeout never exceeds the remaining lease for a sharded call.
	timeout time.Duration
	// lease is cancelled when the lease expires; nil for calls without unit.
	lease context.Context
	// done must be called once with the target's service time.
	done func(admission.Sample)
}

// dispatch sends the call to the target and returns its answer.
func (g *Gate) dispatch(ctx context.Context, c *call.Call, p *permit) (*call.Response, *outcome.Refusal) {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	if p.lease != nil {
		stop := context.AfterFunc(p.lease, cancel)
		inner := cancel
		cancel = func() { stop(); inner() }
	}
	ctx, connections := call.WatchConnections(ctx, cancel)
	begin := time.Now()
	resp, err := p.target.transport.RoundTrip(targetRequest(ctx, c, p))
	sample := admission.Sample{ServiceTime: time.Since(begin), Failed: err != nil}
	if err != nil {
		cancel()
		p.done(sample)
		return nil, targetError(err, connections.Any())
	}
	refusal := refusedByTarget(resp)
	if refusal == nil && resp.StatusCode < http.StatusOK {
		// No upgrade is passed on, and net/http cannot send other such answers.
		_ = resp.Body.Close()
		sample.Failed = true
		refusal = outcome.Undecided(outcome.ReasonUpstreamBroken, "the target's answer is not a final one: "+resp.Status)
	}
	if refusal != nil {
		cancel()
		p.done(sample)
		return nil, refusal
	}
	return &call.Response{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength,
		Body: &answerBody{inner: resp.Body, cancel: cancel, done: func(failed bool) {
			sample.Failed = failed
			p.done(sample)
		}},
	}, nil
}

func targetRequest(ctx context.Context, c *call.Call, p *permit) *http.Request {
	req := c.NewRequest(ctx, p.target.Address)
	call.SetIdempotencyKey(req.Header, c.IdempotencyKey)
	req.Header.Set(call.HeaderTimeout, strconv.FormatInt(max(p.timeout.Milliseconds(), 1), 10))
	if c.Key != "" {
		req.Header.Set(call.HeaderKey, c.Key)
	}
	if p.unit.Service != "" {
		req.Header.Set(call.HeaderUnit, p.unit.String())
		req.Header.Set(call.HeaderEpoch, strconv.FormatUint(p.epoch, 10))
	}
	return req
}

// targetError says what a failed exchange means. Without a connection no byte
// can have reached the target.
func targetError(err error, sent bool) *outcome.Refusal {
	if !sent {
		return outcome.Refuse(outcome.ReasonConnection, "no connection to the target: "+err.Error())
	}
	return outcome.Undecided(outcome.ReasonConnection, "the target did not answer: "+err.Error())
}

// refusedByTarget returns the refusal of a target that states that it did not
// run the request.
func refusedByTarget(resp *http.Response) *outcome.Refusal {
	if resp.Header.Get(call.HeaderOutcome) != string(outcome.NotRun) {
		return nil
	}
	defer resp.Body.Close()
	_, _ = io.CopyN(io.Discard, resp.Body, 4<<10) // lets the connection be used again
	return outcome.Refuse(outcome.ReasonTargetRefused, "the target refused the request: "+resp.Status)
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
