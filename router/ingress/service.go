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

// service holds the decisions of one service in this process.
type service struct {
	name string

	mu       sync.Mutex
	balancer *balancer.Balancer
	policy   *retry.Policy
	// The revisions that the targets and switches were taken from.
	directory, config uint64
	reviewed          clock.Reading
}

func newService(name string, cfg Config) *service {
	random := rand.New(rand.NewPCG(cfg.Seed, shard.Hash(name)))
	return &service{
		name:     name,
		balancer: balancer.New(balancer.Config{DataCentre: cfg.DataCentre}, random),
		policy:   retry.New(retry.Config{}, random),
	}
}

// follow takes over changed targets and switches. The caller holds mu.
func (s *service) follow(v *member.View) {
	if v.Directory.Revision != s.directory {
		s.directory = v.Directory.Revision
		s.balancer.SetTargets(timesource.Now(), targets(v.Directory.Service(s.name)))
	}
	if v.ConfigRevision != s.config && v.Document != nil {
		s.config = v.ConfigRevision
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

// begin counts a new request.
func (s *service) begin(v *member.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.follow(v)
	s.policy.Request()
}

// overdueInterval is the time between two looks for targets that have stopped
// answering.
const overdueInterval = 10 * time.Millisecond

// pick chooses a target and counts a try there. A call that cannot be hedged
// is never used to probe a suspect.
func (s *service) pick(v *member.View, c *call.Call, exclude []table.MemberID) (table.MemberID, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.follow(v)
	now := timesource.Now()
	if now.MonoSince(s.reviewed) >= overdueInterval {
		s.reviewed = now
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

// finished ends a try that pick has counted.
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

// observe records the latency that the caller saw.
func (s *service) observe(latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.policy.Observe(timesource.Now(), latency)
}

func (s *service) attempt(c *call.Call, n int, refusal *outcome.Refusal, elsewhere bool) retry.Attempt {
	return retry.Attempt{
		Number: n, Idempotent: c.Idempotent(), Payment: c.Payment(),
		Refusal: refusal, OtherTargetAvailable: elsewhere, Deadline: timesource.FromTime(c.Deadline),
	}
}

// decide asks the policy whether a try may be repeated.
func (s *service) decide(a retry.Attempt) retry.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.policy.Decide(timesource.Now(), a)
}

// hedgeDelay returns the time after which a second try may start.
func (s *service) hedgeDelay(c *call.Call) (time.Duration, bool) {
	if !c.Idempotent() || c.Payment() || !c.CanResend() {
		return 0, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.policy.HedgeDelay(timesource.Now())
}

func (s *service) mayHedge(a retry.Attempt) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.policy.Hedge(a)
}
