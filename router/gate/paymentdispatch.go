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
	"bramleyquay.example/router/httpserver"
	"bramleyquay.example/router/timesource"
)

// minPaymentLease is the remaining lease below which no payment is started. If the
// lease expires after the record was written as started, the payment is refused,
// but the next owner may receive the record as started, which makes the payment's
// outcome unknown. Renewals keep the remaining lease above 700 ms.
const minPaymentLease = 100 * time.Millisecond

// do runs a payment at most once for its idempotency key. For a retry it returns
// the recorded answer.
func (p *paymentRecords) do(ctx context.Context, c *call.Call) (*call.Response, *outcome.Refusal) {
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
		return responseOf(d)
	}
	// A dispatched payment runs on until its deadline if its caller disconnects,
	// so that a retry gets the answer instead of an unknown outcome.
	caller := ctx
	ctx, cancel := context.WithDeadline(context.WithoutCancel(caller), c.Deadline)
	release := context.AfterFunc(caller, func() {
		if httpserver.IsStopping(caller) {
			cancel()
		}
	})
	defer release()
	resp, refusal := p.gate.run(ctx, c, unit)
	if refusal != nil {
		cancel()
		return nil, p.reportNoAnswer(id, refusal, decided)
	}
	resp.Body = &call.CancelBody{ReadCloser: resp.Body, Cancel: cancel}
	return p.recordAnswer(id, resp, decided)
}

// await waits for the owner's decision about a request. If ctx ends first, it
// cancels the request, which is then dispatched only if that was decided already.
func (p *paymentRecords) await(ctx context.Context, id uint64, decided chan decision) decision {
	select {
	case d := <-decided:
		return d
	case <-ctx.Done():
	}
	p.apply(func(now clock.Reading) []idempotency.Action { return p.owner.Cancel(now, id) })
	select {
	case d := <-decided:
		return d
	default:
		return decision{refusal: outcome.NewUnknown(outcome.ReasonDeadline, "the request ended before the records decided")}
	}
}

// reportNoAnswer reports to the owner's records that the target gave no answer, and
// returns the refusal for the caller: refusal, or that of the records if the
// outcome is unknown and they have decided.
func (p *paymentRecords) reportNoAnswer(id uint64, refusal *outcome.Refusal, decided chan decision) *outcome.Refusal {
	if refusal.Outcome == outcome.NotRun {
		p.apply(func(now clock.Reading) []idempotency.Action { return p.owner.NotDispatched(now, id) })
		return refusal
	}
	p.apply(func(now clock.Reading) []idempotency.Action { return p.owner.ResponseLost(now, id) })
	select {
	case d := <-decided:
		if d.refusal != nil {
			return d.refusal
		}
	default:
	}
	return refusal
}

// recordAnswer records the target's answer before it is returned to the caller. It
// blocks until the records confirm it, at most for confirmTimeout. An answer whose
// body exceeds MaxRecordedBody is recorded without its body.
func (p *paymentRecords) recordAnswer(id uint64, resp *call.Response, decided chan decision) (*call.Response, *outcome.Refusal) {
	limit := p.gate.cfg.MaxRecordedBody
	prefix, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		_ = resp.Body.Close() // the answer is incomplete already
		p.apply(func(now clock.Reading) []idempotency.Action { return p.owner.ResponseLost(now, id) })
		return nil, outcome.NewUnknown(outcome.ReasonUpstreamBroken, "the target's answer broke off: "+err.Error())
	}
	answer := idempotency.Response{Status: resp.Status, Header: map[string][]string{}, Body: prefix}
	call.CopyHeader(answer.Header, resp.Header)
	complete := int64(len(prefix)) <= limit
	if !complete {
		answer.Body, answer.BodyOmitted = nil, true
	}
	p.apply(func(now clock.Reading) []idempotency.Action { return p.owner.Finished(now, id, answer) })
	d := p.awaitConfirmation(decided)
	if d.refusal != nil {
		_ = resp.Body.Close() // the answer is not passed on
		return nil, d.refusal
	}
	if complete {
		_ = resp.Body.Close() // read to its end
		return responseOf(d)
	}
	resp.Body = &partlyReadBody{Reader: io.MultiReader(bytes.NewReader(prefix), resp.Body), closer: resp.Body}
	return resp, nil
}

// confirmTimeout bounds the wait for the confirmation that an answer was recorded.
// The confirmation comes by the request's deadline, so that with deadlines of less
// than a minute a longer wait is a fault. The timeouts of requests can be set to up
// to config.MaxTimeoutLimitMs, ten minutes; the wait then ends before the deadline.
const confirmTimeout = time.Minute

func (p *paymentRecords) awaitConfirmation(decided chan decision) decision {
	select {
	case d := <-decided:
		return d
	case <-time.After(confirmTimeout):
		return decision{refusal: outcome.NewUnknown(outcome.ReasonInProgress, "the answer could not be recorded")}
	}
}

// partlyReadBody is the body of an answer whose beginning was read before.
type partlyReadBody struct {
	io.Reader
	closer io.Closer
}

// Close implements io.Closer.
func (b *partlyReadBody) Close() error { return b.closer.Close() }

// responseOf returns the answer or the refusal of a decision.
func responseOf(d decision) (*call.Response, *outcome.Refusal) {
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

// bufferBody reads the complete body into memory, because the digest must be known
// before any of it is sent to the target. It refuses bodies above MaxPaymentBody.
func (p *paymentRecords) bufferBody(c *call.Call) *outcome.Refusal {
	if c.IsBuffered {
		return nil
	}
	if c.Length > p.gate.cfg.MaxPaymentBody {
		return refuseTooLarge(c.Body)
	}
	data, err := io.ReadAll(http.MaxBytesReader(nil, io.NopCloser(c.Body), p.gate.cfg.MaxPaymentBody))
	var exceeded *http.MaxBytesError
	switch {
	case errors.As(err, &exceeded):
		return refuseTooLarge(c.Body)
	case err != nil:
		return outcome.NewNotRun(outcome.ReasonBadRequest, "the body ended early: "+err.Error())
	}
	c.Buffered, c.IsBuffered, c.Length = data, true, int64(len(data))
	return nil
}

// maxDiscardedBytes bounds the bytes that are read of a body that is too large.
const maxDiscardedBytes = 16 << 20

// refuseTooLarge refuses a body after reading up to maxDiscardedBytes of it: a
// sender whose connection is closed while it sends does not receive the refusal.
func refuseTooLarge(body io.Reader) *outcome.Refusal {
	_, _ = io.CopyN(io.Discard, body, maxDiscardedBytes) // the request is refused either way
	return outcome.NewNotRun(outcome.ReasonBadRequest, "the body of a payment is too large")
}

// digest returns the hash by which a retry of a payment is recognised: over method,
// path as sent, query, key and body. Zero bytes separate the parts.
func digest(c *call.Call) [sha256.Size]byte {
	h := sha256.New()
	for _, part := range []string{c.Method, c.EscapedPath(), c.Query, c.Key} {
		_, _ = io.WriteString(h, part) // never fails, by its documentation
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(c.Buffered)
	return [sha256.Size]byte(h.Sum(nil))
}
