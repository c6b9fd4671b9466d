package ingress

import (
	"context"
	"time"

	"bramleyquay.example/coord/outcome"
	"bramleyquay.example/coord/table"
	"bramleyquay.example/router/call"
)

// toAny brings a call to one of the targets of a service that is not sharded.
func (in *Ingress) toAny(ctx context.Context, c *call.Call) (*call.Response, *outcome.Refusal) {
	s := in.service(c.Service)
	s.begin(in.members.View())
	begin := time.Now()
	var tried []table.MemberID
	last := outcome.NewNotRun(outcome.ReasonNoOwner, "no target of the service is registered")
	for n := 1; ; n++ {
		id, ok := s.pick(in.members.View(), c, tried)
		if !ok && len(tried) > 0 {
			tried = tried[:0]
			id, ok = s.pick(in.members.View(), c, nil)
		}
		if !ok {
			if refusal := in.hold(ctx, in.members.Changed(), last); refusal != nil {
				return nil, refusal
			}
			n--
			continue
		}
		resp, refusal, used := in.race(ctx, s, id, c, n)
		if refusal == nil {
			s.observe(time.Since(begin))
			return resp, nil
		}
		tried = append(tried, used...)
		last = worse(last, refusal)
		if !c.CanResend() {
			return nil, last
		}
		d := s.decide(s.attempt(c, n, last, len(tried) < len(in.members.View().Directory.Service(c.Service))))
		if !d.Retry || !pause(ctx, d.Wait) {
			return nil, last
		}
	}
}

// pause waits d. It reports false when ctx has ended.
func pause(ctx context.Context, d time.Duration) bool {
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

// entrant is one of the tries that race for the same call.
type entrant struct {
	id     table.MemberID
	begin  time.Time
	cancel context.CancelFunc
	tried
}

// race sends the call to id and, if the answer is late and the budget allows
// it, to a second target. The first answer wins and the other try is
// cancelled. It returns the members that were tried.
func (in *Ingress) race(ctx context.Context, s *service, id table.MemberID, c *call.Call, n int) (*call.Response, *outcome.Refusal, []table.MemberID) {
	results := make(chan *entrant, 2)
	first := in.enter(ctx, s, id, c, results)
	delay, hedged := s.hedgeDelay(c)
	if !hedged {
		e := <-results
		return e.win(), e.refusal, []table.MemberID{id}
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case e := <-results:
		return e.win(), e.refusal, []table.MemberID{id}
	case <-timer.C:
	}
	second := in.hedge(ctx, s, id, c, n, results)
	if second == nil {
		e := <-results
		return e.win(), e.refusal, []table.MemberID{id}
	}
	return settle(first, second, results)
}

// hedge starts the second try; nil if the budget or the targets do not allow it.
func (in *Ingress) hedge(ctx context.Context, s *service, id table.MemberID, c *call.Call, n int, results chan *entrant) *entrant {
	other, ok := s.pick(in.members.View(), c, []table.MemberID{id})
	if !ok {
		return nil
	}
	if other == id || !s.mayHedge(s.attempt(c, n, nil, true)) {
		s.finished(other, time.Now(), nil, nil, true)
		return nil
	}
	hedges.Inc()
	return in.enter(ctx, s, other, c, results)
}

// settle waits for the first answer of two tries and cancels the other.
func settle(first, second *entrant, results chan *entrant) (*call.Response, *outcome.Refusal, []table.MemberID) {
	ids := []table.MemberID{first.id, second.id}
	winner := <-results
	if winner.refusal != nil {
		loser := winner
		winner = <-results
		if winner.refusal != nil {
			return nil, worse(loser.refusal, winner.refusal), ids
		}
		return winner.win(), nil, ids
	}
	loser := first
	if winner == first {
		loser = second
	}
	loser.cancel()
	go func() {
		if e := <-results; e.refusal == nil {
			_ = e.resp.Body.Close() // the answer is not needed
		}
	}()
	return winner.win(), nil, ids
}

// enter starts a try at a member that was picked.
func (in *Ingress) enter(ctx context.Context, s *service, id table.MemberID, c *call.Call, results chan *entrant) *entrant {
	ctx, cancel := context.WithCancel(ctx)
	e := &entrant{id: id, begin: time.Now(), cancel: cancel}
	go func() {
		resp, load, refusal := in.send(ctx, id, c)
		cancelled := refusal != nil && ctx.Err() == context.Canceled
		s.finished(id, e.begin, load, refusal, cancelled)
		e.resp, e.refusal = resp, refusal
		if refusal != nil {
			cancel()
		}
		results <- e
	}()
	return e
}

// win ties the try's context to its answer.
func (e *entrant) win() *call.Response {
	if e.refusal != nil {
		return nil
	}
	e.resp.Body = &call.CancelBody{ReadCloser: e.resp.Body, Cancel: e.cancel}
	return e.resp
}
