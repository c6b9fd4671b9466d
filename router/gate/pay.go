package gate

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"net/http"
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/idempotency"
	"bramleyquay.example/coord/outcome"
	"bramleyquay.example/router/call"
	"bramleyquay.example/router/timesource"
)

// minPaymentLease is the remaining lease below which no payment is begun. A
// record that was started and then refused for the lease may reach the next
// owner as started, which makes the payment's outcome unknown. Renewals keep
// the remaining lease above 700 ms.
const minPaymentLease = 100 * time.Millisecond

// do runs a payment at most once.
func (p *payments) do(ctx context.Context, c *call.Call) (*call.Response, *outcome.Refusal) {
	if p.gate.members.LeaseRemaining() < minPaymentLease {
		return nil, outcome.NewNotRun(outcome.ReasonLeaseExpired, "the lease is about to expire")
	}
	if refusal := p.bufferBody(c); refusal != nil {
		return nil, refusal
	}
	unit := p.gate.unitOf(c)
	id, decided := p.begin(idempotency.Request{
		Unit: unit, Key: c.IdempotencyKey, Digest: digest(c),
		IssuedAtMs: c.IssuedAtMs, Deadline: timesource.FromTime(c.Deadline),
	})
	defer p.forget(id)
	d := p.await(ctx, id, decided)
	if !d.dispatch {
		return result(d)
	}
	// Once dispatched, a payment goes on without its caller until its deadline:
	// a resend then finds the answer instead of an unknown outcome.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.Deadline)
	resp, refusal := p.gate.run(ctx, c, unit)
	if refusal != nil {
		cancel()
		return nil, p.notAnswered(id, refusal, decided)
	}
	resp.Body = &call.CancelBody{ReadCloser: resp.Body, Cancel: cancel}
	return p.finish(id, resp, decided)
}

// await waits for the records' decision. When the caller's context ends first
// the request is withdrawn; it is dispatched only if that was decided already.
func (p *payments) await(ctx context.Context, id uint64, decided chan decision) decision {
	select {
	case d := <-decided:
		return d
	case <-ctx.Done():
	}
	p.event(func(now clock.Reading) []idempotency.Action { return p.owner.Cancel(now, id) })
	select {
	case d := <-decided:
		return d
	default:
		return decision{refusal: outcome.NewUnknown(outcome.ReasonDeadline, "the request ended before the records decided")}
	}
}

// notAnswered tells the records why the target gave no answer.
func (p *payments) notAnswered(id uint64, refusal *outcome.Refusal, decided chan decision) *outcome.Refusal {
	if refusal.Outcome == outcome.NotRun {
		p.event(func(now clock.Reading) []idempotency.Action { return p.owner.NotDispatched(now, id) })
		return refusal
	}
	p.event(func(now clock.Reading) []idempotency.Action { return p.owner.ResponseLost(now, id) })
	select {
	case d := <-decided:
		if d.refusal != nil {
			return d.refusal
		}
	default:
	}
	return refusal
}

// finish records the target's answer before the caller gets it.
func (p *payments) finish(id uint64, resp *call.Response, decided chan decision) (*call.Response, *outcome.Refusal) {
	limit := p.gate.cfg.MaxRecordedBody
	prefix, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		_ = resp.Body.Close() // the answer has broken off already
		p.event(func(now clock.Reading) []idempotency.Action { return p.owner.ResponseLost(now, id) })
		return nil, outcome.NewUnknown(outcome.ReasonUpstreamBroken, "the target's answer broke off: "+err.Error())
	}
	answer := idempotency.Response{Status: resp.Status, Header: map[string][]string{}, Body: prefix}
	call.CopyHeader(answer.Header, resp.Header)
	whole := int64(len(prefix)) <= limit
	if !whole {
		answer.Body, answer.BodyOmitted = nil, true
	}
	p.event(func(now clock.Reading) []idempotency.Action { return p.owner.Finished(now, id, answer) })
	d := p.confirmed(decided)
	if d.refusal != nil {
		_ = resp.Body.Close() // the answer is not passed on
		return nil, d.refusal
	}
	if whole {
		_ = resp.Body.Close() // read to its end
		return result(d)
	}
	resp.Body = &joinedBody{Reader: io.MultiReader(bytes.NewReader(prefix), resp.Body), closer: resp.Body}
	return resp, nil
}

// confirmTimeout bounds the wait for the records' confirmation of an answer. The
// records confirm by the request's deadline; a longer wait is a fault.
const confirmTimeout = time.Minute

func (p *payments) confirmed(decided chan decision) decision {
	select {
	case d := <-decided:
		return d
	case <-time.After(confirmTimeout):
		return decision{refusal: outcome.NewUnknown(outcome.ReasonInProgress, "the answer could not be recorded")}
	}
}

// joinedBody is an answer whose beginning has been read.
type joinedBody struct {
	io.Reader
	closer io.Closer
}

// Close implements io.Closer.
func (b *joinedBody) Close() error { return b.closer.Close() }

func result(d decision) (*call.Response, *outcome.Refusal) {
	if d.refusal != nil {
		return nil, d.refusal
	}
	if d.answer == nil {
		return nil, outcome.NewUnknown(outcome.ReasonUpstreamBroken, "the record of an earlier try has no answer")
	}
	return &call.Response{
		Status: d.answer.Status, Header: http.Header(d.answer.Header), Replayed: d.replayed,
		Body: io.NopCloser(bytes.NewReader(d.answer.Body)), Length: int64(len(d.answer.Body)),
	}, nil
}

// bufferBody holds the whole body, because the digest must be known before the
// target sees any of it.
func (p *payments) bufferBody(c *call.Call) *outcome.Refusal {
	if c.IsBuffered {
		return nil
	}
	if c.Length > p.gate.cfg.MaxPaymentBody {
		return tooLarge(c.Body)
	}
	data, err := io.ReadAll(http.MaxBytesReader(nil, io.NopCloser(c.Body), p.gate.cfg.MaxPaymentBody))
	var exceeded *http.MaxBytesError
	switch {
	case errors.As(err, &exceeded):
		return tooLarge(c.Body)
	case err != nil:
		return outcome.NewNotRun(outcome.ReasonBadRequest, "the body ended early: "+err.Error())
	}
	c.Buffered, c.IsBuffered, c.Length = data, true, int64(len(data))
	return nil
}

// drainedBytes bounds what is read of a body that is refused.
const drainedBytes = 16 << 20

// tooLarge refuses a body after reading most of it: a sender whose connection
// is closed while it sends does not see the refusal.
func tooLarge(body io.Reader) *outcome.Refusal {
	_, _ = io.CopyN(io.Discard, body, drainedBytes) // the request is refused either way
	return outcome.NewNotRun(outcome.ReasonBadRequest, "the body of a payment is too large")
}

// digest identifies a payment: method, path as sent, query and body. Zero bytes keep
// the parts apart.
func digest(c *call.Call) [sha256.Size]byte {
	h := sha256.New()
	for _, part := range []string{c.Method, c.EscapedPath(), c.Query, c.Key} {
		_, _ = io.WriteString(h, part) // never fails, by its documentation
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(c.Buffered)
	return [sha256.Size]byte(h.Sum(nil))
}
