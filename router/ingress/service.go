package ingress

import (
	"math/rand/v2"
	"sync"
	"time"

	"bramleyquay.example/coord/balancer"
	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/config"
	"bramleyquay.example/coord/control"
	"bramleyquay.example/coord/outcome"
	"bramleyquay.example/coord/retry"
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
	"bramleyquay.example/router/call"
	"bramleyquay.example/router/member"
	"bramleyquay.example/router/timesource"
)

// service holds the balancer and the retry policy of one service. Its methods may
// be called concurrently.
type service struct {
	name string

	mu       sync.Mutex
	balancer *balancer.Balancer
	policy   *retry.Policy
	// The revisions of the directory and the configuration that were applied last.
	directoryRevision, configRevision uint64
	lastReview                        clock.Reading
}

func newService(name string, cfg Config) *service {
	random := rand.New(rand.NewPCG(cfg.Seed, shard.Hash(name)))
	return &service{
		name:     name,
		balancer: balancer.New(balancer.Config{DataCentre: cfg.DataCentre}, random),
		policy:   retry.New(retry.Config{}, random),
	}
}

// applyView applies changes of targets and of the switches for ejection and retries.
// The caller must hold mu.
func (s *service) applyView(v *member.View) {
	if v.Directory.Revision != s.directoryRevision {
		s.directoryRevision = v.Directory.Revision
		s.balancer.SetTargets(timesource.Now(), targets(v.Directory.Service(s.name)))
	}
	if v.ConfigRevision != s.configRevision && v.Document != nil {
		s.configRevision = v.ConfigRevision
		s.balancer.SetEjection(v.Document.Automation.Allowed(config.ActionEjection))
		s.policy.SetEnabled(v.Document.Automation.Allowed(config.ActionRetries))
	}
}

func targets(members []control.Member) []balancer.Target {
	list := make([]balancer.Target, 0, len(members))
	for _, m := range members {
		list = append(list, balancer.Target{
			ID: m.ID, DataCentre: m.DataCentre, Slots: m.Target.Slots,
			Draining: m.State != control.MemberActive || m.Leaving,
		})
	}
	return list
}

// begin counts a new request for the retry budget.
func (s *service) begin(v *member.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyView(v)
	s.policy.CountRequest()
}

// reviewInterval is the shortest time between two checks for targets that have
// stopped answering. The checks are made when a target is picked.
const reviewInterval = 10 * time.Millisecond

// pick chooses a target and counts a try there, which finished must end. It returns
// false if there is no target. Only an idempotent call with a buffered body may be
// used to probe a suspect.
func (s *service) pick(v *member.View, c *call.Call, exclude []table.MemberID) (table.MemberID, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyView(v)
	now := timesource.Now()
	if now.MonoSince(s.lastReview) >= reviewInterval {
		s.lastReview = now
		s.balancer.ReviewSuspects(now)
	}
	choose := s.balancer.PickWithoutProbe
	if c.Idempotent() && c.CanResend() {
		choose = s.balancer.Pick
	}
	id, ok := choose(now, exclude...)
	if ok {
		s.balancer.Started(now, id)
	}
	return id, ok
}

// finished ends a try that pick has counted and passes its result to the balancer.
func (s *service) finished(id table.MemberID, begin time.Time, load *balancer.GateLoad, refusal *outcome.Refusal, cancelled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	result := balancer.Result{Latency: time.Since(begin), Kind: kindOf(refusal, cancelled), Load: load}
	s.balancer.Finished(timesource.Now(), id, result)
}

func kindOf(refusal *outcome.Refusal, cancelled bool) balancer.ResultKind {
	switch {
	case cancelled:
		return balancer.Cancelled
	case refusal == nil:
		return balancer.OK
	case refusal.Outcome == outcome.NotRun && refusal.Reason != outcome.ReasonConnectionFailed:
		return balancer.Refused
	default:
		return balancer.Failed
	}
}

// observe records the latency of an answer, including retries.
func (s *service) observe(latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.policy.Observe(timesource.Now(), latency)
}

// attempt returns the description of try n for the retry policy.
func (s *service) attempt(c *call.Call, n int, refusal *outcome.Refusal, otherTarget bool) retry.Attempt {
	return retry.Attempt{
		Number: n, Idempotent: c.Idempotent(), Payment: c.Payment(),
		Refusal: refusal, OtherTargetAvailable: otherTarget, Deadline: timesource.FromTime(c.Deadline),
	}
}

// decideRetry returns the policy's decision whether, and after what wait, a call is
// retried.
func (s *service) decideRetry(a retry.Attempt) retry.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.policy.Decide(timesource.Now(), a)
}

// hedgeDelay returns the time after which a hedge may start. It returns false if
// the call cannot be hedged, hedges are disabled, or too few latencies are known.
func (s *service) hedgeDelay(c *call.Call) (time.Duration, bool) {
	if !c.Idempotent() || c.Payment() || !c.CanResend() {
		return 0, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.policy.HedgeDelay(timesource.Now())
}

// mayHedge reports whether the budget allows a hedge, and takes it from the budget.
func (s *service) mayHedge(a retry.Attempt) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.policy.Hedge(a)
}
