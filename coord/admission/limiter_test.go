package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/outcome"
)

func at(d time.Duration) clock.Reading { return clock.At(d) }

var testConfig = Config{Slots: 10, RampStartSlots: 1, RampDuration: 9 * time.Second, QueueLength: 4}

// runRequests runs one request after the other between two times.
func runRequests(l *Limiter, from, to, service time.Duration) {
	for t := from; t < to; t += service {
		l.Offer(at(t), Request{ID: 1})
		l.Done(at(t+service), 1, Sample{ServiceTime: service})
	}
}

// Guards against a cold target that gets more requests than its ramp allows,
// against a ramp that progresses while the target is idle, and against one that
// a new incarnation does not restart.
func TestRampFollowsWork(t *testing.T) {
	is := is.New(t)
	l := New(testConfig, at(0))
	runRequests(l, 0, 3*time.Second, 10*time.Millisecond)
	is.Equal(l.Status(at(3*time.Second)).Limit, 4) // linear: 1 + 9*3/9
	runRequests(l, time.Hour, time.Hour+10*time.Millisecond, 10*time.Millisecond)
	is.Equal(l.Status(at(time.Hour)).Limit, 4) // an idle target does not warm up
	runRequests(l, time.Hour, time.Hour+7*time.Second, 10*time.Millisecond)
	is.Equal(l.Status(at(time.Hour+7*time.Second)).Limit, 10)
	l.TargetStarted(at(2*time.Hour), 7)
	is.Equal(l.Status(at(2*time.Hour)).Limit, 1) // a new incarnation is cold
	runRequests(l, 2*time.Hour, 2*time.Hour+time.Second, 10*time.Millisecond)
	l.TargetStarted(at(2*time.Hour+time.Second), 7)
	is.Equal(l.Status(at(2*time.Hour+time.Second)).Limit, 2) // the same incarnation again keeps its ramp

	l.Offer(at(3*time.Hour), Request{ID: 2})
	l.TargetStarted(at(3*time.Hour+time.Millisecond), 8)
	l.Done(at(3*time.Hour+8*time.Second), 2, Sample{ServiceTime: 8 * time.Second})
	is.Equal(l.Status(at(3*time.Hour+8*time.Second)).RampShare, 0.0) // an answer of the old incarnation is no progress
}

// newWarmLimiter returns a limiter past its ramp with a service time of 10 ms,
// and the present time.
func newWarmLimiter(c Config) (*Limiter, time.Duration) {
	l := New(c, at(0))
	runRequests(l, 0, 10*time.Second, 10*time.Millisecond)
	return l, 10 * time.Second
}

// Guards against full load on a target that became cold or froze and did not
// announce a new incarnation.
func TestUnannouncedColdTarget(t *testing.T) {
	is := is.New(t)
	l, now := newWarmLimiter(testConfig)
	runRequests(l, now, now+time.Second, 100*time.Millisecond)
	is.Equal(l.Status(at(now+time.Second)).Limit, 1) // slow answers while few requests run
	is.Equal(l.Status(at(now+time.Second)).ColdRestarts, 1)

	l, now = newWarmLimiter(testConfig)
	for id := range uint64(10) {
		l.Offer(at(now), Request{ID: id})
	}
	for id := range uint64(6) {
		l.Done(at(now+100*time.Millisecond), id, Sample{ServiceTime: 100 * time.Millisecond})
		l.Offer(at(now+100*time.Millisecond), Request{ID: 100 + id})
	}
	is.Equal(l.Status(at(now+100*time.Millisecond)).Limit, 5) // slow answers under full load halve the limit

	l, now = newWarmLimiter(testConfig)
	l.Offer(at(now), Request{ID: 1})
	next, ok := l.NextTick(at(now))
	is.True(ok)
	l.Tick(at(now + next))
	is.Equal(l.Status(at(now+next)).Limit, 1) // no answer at all
}

// Guards against payments that are refused while browse requests wait, and
// against requests that wait for a slot that cannot come in time.
func TestQueue(t *testing.T) {
	is := is.New(t)
	c := testConfig
	c.Slots = 1
	l, now := newWarmLimiter(c)
	is.Equal(l.Offer(at(now), Request{ID: 1}), []Action{{ID: 1, Kind: Start}})
	for id := uint64(2); id < 6; id++ {
		is.Equal(len(l.Offer(at(now), Request{ID: id, Deadline: at(now + time.Duration(id)*time.Second)})), 0)
	}
	full := l.Offer(at(now), Request{ID: 6, Deadline: at(now + time.Second)})
	is.Equal(full[0].ID, uint64(6))
	is.Equal(full[0].Refusal.Reason, outcome.ReasonQueueFull)
	displaced := l.Offer(at(now), Request{ID: 7, Class: Payment, Deadline: at(now + time.Hour)})
	is.Equal(displaced[0].ID, uint64(5)) // the waiting browse request with the latest deadline
	is.Equal(displaced[0].Refusal.Reason, outcome.ReasonShed)
	is.Equal(displaced[0].Refusal.Outcome, outcome.NotRun)

	l.Cancel(at(now), 4)
	hopeless := l.Offer(at(now), Request{ID: 8, Deadline: at(now + 25*time.Millisecond)})
	is.Equal(hopeless[0].Refusal.Reason, outcome.ReasonDeadline) // it would wait for the running request and the payment, 10 ms each
	is.True(hopeless[0].Refusal.RetryAfter > 0)

	is.Equal(l.Done(at(now+10*time.Millisecond), 1, Sample{}), []Action{{ID: 7, Kind: Start}})
	is.Equal(l.Done(at(now+20*time.Millisecond), 7, Sample{}), []Action{{ID: 2, Kind: Start}})
	expired := l.Tick(at(now + 4*time.Second))
	is.Equal(expired[0].ID, uint64(3)) // its deadline has passed while it waited
}

// Guards against a target that gets no request ever again because its last
// answers took longer than the deadlines of the requests.
func TestIdleTargetIsTried(t *testing.T) {
	is := is.New(t)
	l := New(testConfig, at(0))
	runRequests(l, 0, 40*time.Second, time.Second)
	is.Equal(l.Offer(at(time.Minute), Request{ID: 2, Deadline: at(time.Minute + 100*time.Millisecond)})[0].Kind, Start)
}

// Guards against requests that wait in the queue of a slow target although
// another target could take them: it queues at most as many as its present
// limit, unless KeepQueueWhenSlow is set.
func TestSlowTargetQueuesLittle(t *testing.T) {
	is := is.New(t)
	for _, keepQueue := range []bool{false, true} {
		c := testConfig
		c.KeepQueueWhenSlow = keepQueue
		l, now := newWarmLimiter(c)
		l.Offer(at(now), Request{ID: 100})
		now += 300 * time.Millisecond
		l.Tick(at(now)) // stalled: one slot
		l.Offer(at(now), Request{ID: 101})
		refused := len(l.Offer(at(now), Request{ID: 102})) > 0
		is.Equal(refused, !keepQueue)
	}
}

// Guards against violations of the limiter's invariants under any order of
// events: more running requests than slots, a request without an action or with
// two, a refusal without a not-run outcome, and a payment refused because of a
// full queue while a browse request waits.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := Config{Slots: rapid.IntRange(1, 8).Draw(rt, "slots"), RampStartSlots: 1, RampDuration: time.Second, QueueLength: rapid.IntRange(0, 5).Draw(rt, "queue")}
		l := New(c, at(0))
		now, next := time.Duration(0), uint64(0)
		waiting, running := map[uint64]Class{}, map[uint64]bool{}
		apply := func(actions []Action) {
			for _, a := range actions {
				class, ok := waiting[a.ID]
				if !ok {
					rt.Fatalf("action for request %d, which is not waiting", a.ID)
				}
				delete(waiting, a.ID)
				if a.Kind == Start {
					running[a.ID] = true
					continue
				}
				if a.Refusal.Outcome != outcome.NotRun || a.Refusal.RetryAfter <= 0 {
					rt.Fatalf("refusal without a not-run outcome or a retry hint: %+v", a.Refusal)
				}
				for _, other := range waiting {
					if class == Payment && a.Refusal.Reason == outcome.ReasonQueueFull && other == Browse {
						rt.Fatalf("payment refused while a browse request waits")
					}
				}
			}
		}
		firstOf := func(ids map[uint64]bool) uint64 {
			for id := range next {
				if ids[id] {
					return id
				}
			}
			return 0
		}
		for range rapid.IntRange(1, 60).Draw(rt, "events") {
			now += time.Duration(rapid.IntRange(0, 50).Draw(rt, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 5).Draw(rt, "event") {
			case 0, 1, 2:
				r := Request{ID: next, Class: Class(rapid.IntRange(0, 1).Draw(rt, "class")), Deadline: at(now + time.Duration(rapid.IntRange(-10, 400).Draw(rt, "deadline"))*time.Millisecond)}
				next++
				waiting[r.ID] = r.Class
				apply(l.Offer(at(now), r))
			case 3:
				id := firstOf(running)
				delete(running, id)
				apply(l.Done(at(now), id, Sample{Failed: rapid.Bool().Draw(rt, "failed")}))
			case 4:
				id := firstOf(running)
				delete(running, id)
				delete(waiting, id)
				apply(l.Cancel(at(now), id))
			case 5:
				apply(l.Tick(at(now)))
			}
			s := l.Status(at(now))
			if s.Limit > c.Slots || len(running) > c.Slots || s.Running != len(running) || s.Queued != len(waiting) || s.Queued > c.QueueLength {
				rt.Fatalf("limits exceeded or wrong status %+v: %d running and %d waiting", s, len(running), len(waiting))
			}
			if s.Running < s.Limit && s.Queued > 0 {
				rt.Fatalf("requests wait although a slot is free: %+v", s)
			}
		}
	})
}

// Guards against allocations on the request path.
func TestNoAllocation(t *testing.T) {
	is := is.New(t)
	l, now := newWarmLimiter(testConfig)
	is.Equal(testing.AllocsPerRun(1000, func() { runRequests(l, now, now+time.Millisecond, time.Millisecond); now += time.Millisecond }), 0.0)
}

func BenchmarkOfferDone(b *testing.B) {
	l, now := newWarmLimiter(Config{Slots: 12, QueueLength: 256})
	for id := range uint64(11) {
		l.Offer(at(now), Request{ID: id})
	}
	b.ReportAllocs()
	for id := uint64(100); b.Loop(); id++ {
		now += 10 * time.Microsecond
		l.Offer(at(now), Request{ID: id, Deadline: at(now + time.Second)})
		l.Done(at(now), id, Sample{ServiceTime: 10 * time.Millisecond})
	}
}

func BenchmarkOfferDoneQueued(b *testing.B) {
	l, now := newWarmLimiter(Config{Slots: 12, QueueLength: 256})
	id := uint64(0)
	for ; id < 140; id++ {
		l.Offer(at(now), Request{ID: id, Deadline: at(now + time.Second)})
	}
	b.ReportAllocs()
	for ; b.Loop(); id++ {
		now += 10 * time.Microsecond
		l.Offer(at(now), Request{ID: id, Deadline: at(now + time.Second)})
		l.Done(at(now), id-140, Sample{ServiceTime: 10 * time.Millisecond})
	}
}
