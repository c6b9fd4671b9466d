package ingress

import (
	"context"
	"time"

	"bramleyquay.example/coord/outcome"
	"bramleyquay.example/coord/table"
	"bramleyquay.example/router/call"
)

// sendToAnyTarget sends a call to one of the targets of a service that is not
// sharded, and retries at other targets as far as the retry policy allows.
func (in *Ingress) sendToAnyTarget(ctx context.Context, c *call.Call) (*call.Response, *outcome.Refusal) {
	s := in.service(c.Service)
	s.begin(in.members.View())
	begin := time.Now()
	var tried []table.MemberID
	last := outcome.NewNotRun(outcome.ReasonNoOwner, "no target of the service is registered")
	for n := 1; ; n++ {
		id, ok := s.pick(in.members.View(), c, tried)
		if !ok && len(tried) > 0 {
			// Every target was tried: start again with all of them.
			tried = tried[:0]
			id, ok = s.pick(in.members.View(), c, nil)
		}
		if !ok {
			if refusal := in.waitForView(ctx, in.members.Changed(), last); refusal != nil {
				return nil, refusal
			}
			n--
			continue
		}
		resp, refusal, used := in.sendWithHedge(ctx, s, id, c, n)
		if refusal == nil {
			s.observe(time.Since(begin))
			return resp, nil
		}
		tried = append(tried, used...)
		last = preferUnknown(last, refusal)
		if !c.CanResend() {
			return nil, last
		}
		d := s.decideRetry(s.attempt(c, n, last, len(tried) < len(in.members.View().Directory.Service(c.Service))))
		if !d.Retry || !wait(ctx, d.Wait) {
			return nil, last
		}
	}
}

// wait blocks for d. It returns false if ctx has ended.
func wait(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// startedTry is a try that runs in its own goroutine, first or hedge.
type startedTry struct {
	id     table.MemberID
	begin  time.Time
	cancel context.CancelFunc
	tryResult
}

// sendWithHedge sends the call to the member id and, if the answer is late and the
// budget allows it, a hedge to a second one. It returns the first answer, cancels
// the other try, and returns the members that were tried.
func (in *Ingress) sendWithHedge(ctx context.Context, s *service, id table.MemberID, c *call.Call, n int) (*call.Response, *outcome.Refusal, []table.MemberID) {
	results := make(chan *startedTry, 2)
	first := in.startTry(ctx, s, id, c, results)
	delay, hedged := s.hedgeDelay(c)
	if !hedged {
		t := <-results
		return t.response(), t.refusal, []table.MemberID{id}
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case t := <-results:
		return t.response(), t.refusal, []table.MemberID{id}
	case <-timer.C:
	}
	second := in.hedge(ctx, s, id, c, n, results)
	if second == nil {
		t := <-results
		return t.response(), t.refusal, []table.MemberID{id}
	}
	return firstAnswer(first, second, results)
}

// hedge starts the second try. It returns nil if the budget does not allow it or
// there is no other target.
func (in *Ingress) hedge(ctx context.Context, s *service, id table.MemberID, c *call.Call, n int, results chan *startedTry) *startedTry {
	other, ok := s.pick(in.members.View(), c, []table.MemberID{id})
	if !ok {
		return nil
	}
	if other == id || !s.mayHedge(s.attempt(c, n, nil, true)) {
		s.finished(other, time.Now(), nil, nil, true)
		return nil
	}
	hedges.Inc()
	return in.startTry(ctx, s, other, c, results)
}

// firstAnswer returns the first answer of two tries and cancels the other try. If
// both are refused, it returns a refusal, the one with outcome unknown if there is
// one.
func firstAnswer(first, second *startedTry, results chan *startedTry) (*call.Response, *outcome.Refusal, []table.MemberID) {
	ids := []table.MemberID{first.id, second.id}
	used := <-results
	if used.refusal != nil {
		other := used
		used = <-results
		if used.refusal != nil {
			return nil, preferUnknown(other.refusal, used.refusal), ids
		}
		return used.response(), nil, ids
	}
	other := first
	if used == first {
		other = second
	}
	other.cancel()
	go func() {
		if t := <-results; t.refusal == nil {
			_ = t.resp.Body.Close() // the answer is not needed
		}
	}()
	return used.response(), nil, ids
}

// startTry starts a try at a member that pick returned. The try is sent to results
// when it has ended.
func (in *Ingress) startTry(ctx context.Context, s *service, id table.MemberID, c *call.Call, results chan *startedTry) *startedTry {
	ctx, cancel := context.WithCancel(ctx)
	t := &startedTry{id: id, begin: time.Now(), cancel: cancel}
	go func() {
		resp, load, refusal := in.send(ctx, id, c)
		cancelled := refusal != nil && ctx.Err() == context.Canceled
		s.finished(id, t.begin, load, refusal, cancelled)
		t.resp, t.refusal = resp, refusal
		if refusal != nil {
			cancel()
		}
		results <- t
	}()
	return t
}

// response returns the answer of the try, or nil if it was refused. Closing the
// answer's body cancels the context of the try.
func (t *startedTry) response() *call.Response {
	if t.refusal != nil {
		return nil
	}
	t.resp.Body = &call.CancelBody{ReadCloser: t.resp.Body, Cancel: t.cancel}
	return t.resp
}
