package grant_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/fleet"
	"bramleyquay.example/coord/grant"
	"bramleyquay.example/coord/ranges"
)

var (
	scheduleSeed  = flag.Uint64("grant.seed", 1, "first seed of the generated schedules")
	scheduleCount = flag.Int("grant.schedules", 10_000, "number of generated schedules")
)

const (
	scheduleStep   = 20 * time.Millisecond
	scheduleLength = 12 * time.Second
	scheduleLease  = 2 * time.Second
	leaderMargin   = scheduleLease/25 + 200*time.Millisecond
	// lateApply bounds the time after its arrival at which a target applies a grant
	// that it does not answer.
	lateApply = 3 * time.Second
	clockSlow = 1.02
)

// fakeTarget applies grant calls as they arrive, some of them late and without an
// answer.
type fakeTarget struct {
	grants  []fakeGrant
	highest map[uint16]uint64 // the highest fence by probe key
	delayed []delayedGrant
}

type fakeGrant struct {
	ranges.Range
	until time.Duration
	// stale is set if the call was decided on before a freeze of its process and
	// arrived after it. Such a grant may overlap another one until it is revoked.
	stale bool
}

type delayedGrant struct {
	fakeGrant
	at time.Duration
}

// probes are the keys at which the sole owner is checked.
var probes = []uint16{0, 9_000, 20_000, 30_000, 41_000, 52_000, 60_000, ranges.LastKey}

func (f *fakeTarget) apply(g fakeGrant) bool {
	for _, k := range probes {
		if g.From <= k && k <= g.To && f.highest[k] > g.Fence {
			return false
		}
	}
	for _, k := range probes {
		if g.From <= k && k <= g.To {
			f.highest[k] = g.Fence
		}
	}
	f.grants = append(f.grants, g)
	return true
}

// release ends the grants of the keys of a range.
func (f *fakeTarget) release(r ranges.Range) {
	var left []fakeGrant
	for _, g := range f.grants {
		if g.To < r.From || r.To < g.From {
			left = append(left, g)
			continue
		}
		if g.From < r.From {
			part := g
			part.To = r.From - 1
			left = append(left, part)
		}
		if g.To > r.To {
			part := g
			part.From = r.To + 1
			left = append(left, part)
		}
	}
	f.grants = left
}

// advance applies the delayed grants that are due and drops the expired ones.
func (f *fakeTarget) advance(now time.Duration) {
	f.delayed = slices.DeleteFunc(f.delayed, func(d delayedGrant) bool {
		if d.at > now {
			return false
		}
		f.apply(d.fakeGrant)
		return true
	})
	f.grants = slices.DeleteFunc(f.grants, func(g fakeGrant) bool { return now >= g.until })
}

func (f *fakeTarget) holds(key uint16) bool {
	return slices.ContainsFunc(f.grants, func(g fakeGrant) bool { return !g.stale && g.From <= key && key <= g.To })
}

// callEnd is the end of a call that the process sees later.
type callEnd struct {
	at     time.Duration
	call   grant.Call
	result grant.CallResult
}

// fakeProcess is the sidecar process of one target.
type fakeProcess struct {
	holder    ranges.Holder
	target    *fakeTarget
	requester *grant.Requester
	// frozenUntil delays everything that the process does. unsent are the calls that
	// it had decided on when it was frozen.
	frozenUntil time.Duration
	unsent      []grant.Call
	ends        []callEnd
	isolated    time.Duration // no contact with the leader until then
	lastGrant   time.Duration // of a lease, by the leader's clock
}

// schedule is one generated run with a leader, three processes and their targets.
type schedule struct {
	rng       *rand.Rand
	now       time.Duration
	keyspace  []ranges.Range
	fence     uint64
	processes []*fakeProcess
	// reuseEarly is a deliberate fault: ranges are reused as soon as the target has
	// answered their release, although calls without an answer may still be applied.
	reuseEarly bool
}

func newSchedule(seed uint64) *schedule {
	s := &schedule{rng: rand.New(rand.NewPCG(seed, 7))}
	for i := range 3 {
		p := &fakeProcess{holder: ranges.Holder{Target: fmt.Sprint("t", i), Incarnation: 1, Process: fmt.Sprint("p", i)}}
		p.target = &fakeTarget{highest: map[uint16]uint64{}}
		s.start(p)
		s.processes = append(s.processes, p)
	}
	for i := range 4 {
		s.keyspace = append(s.keyspace, ranges.Range{From: uint16(i * 16384), To: uint16((i+1)*16384 - 1)})
	}
	return s
}

// start starts the process without what it knew before.
func (s *schedule) start(p *fakeProcess) {
	p.requester = grant.NewRequester(grant.DefaultRequestConfig(scheduleLease), p.holder, s.now+scheduleLease)
	p.ends, p.unsent = nil, nil
}

func (s *schedule) chance(p float64) bool { return s.rng.Float64() < p }

func (s *schedule) upTo(d time.Duration) time.Duration { return time.Duration(s.rng.Int64N(int64(d))) }

// lead makes the leader's changes: it requests releases, splits ranges, takes the
// ranges of holders whose lease has ended, and assigns free ranges.
func (s *schedule) lead() {
	s.keyspace = slices.Clone(s.keyspace)
	for i := 0; i < len(s.keyspace); i++ {
		r := &s.keyspace[i]
		switch {
		case r.Holder.IsZero():
			s.fence++
			r.Holder, r.Fence, r.Releasing = s.processes[s.rng.IntN(len(s.processes))].holder, s.fence, false
		case s.now-s.process(r.Holder).lastGrant > scheduleLease+leaderMargin:
			r.Holder, r.Releasing, r.HandoverToken = ranges.Holder{}, false, ""
		case r.Releasing:
		case s.chance(0.01):
			r.Releasing = true
		case len(s.keyspace) < 7 && r.To-r.From > 4_000 && s.chance(0.005):
			left, right := *r, *r
			left.To = r.From + (r.To-r.From)/2
			right.From = left.To + 1
			s.keyspace = slices.Replace(s.keyspace, i, i+1, left, right)
		}
	}
}

func (s *schedule) process(h ranges.Holder) *fakeProcess {
	for _, p := range s.processes {
		if p.holder.Process == h.Process {
			return p
		}
	}
	return nil
}

// disturb injects faults.
func (s *schedule) disturb(p *fakeProcess) {
	switch {
	case s.chance(0.002):
		p.frozenUntil = s.now + s.upTo(4*time.Second)
	case s.chance(0.001):
		s.start(p)
	case s.chance(0.002):
		p.isolated = s.now + s.upTo(4*time.Second)
	}
}

// renew sends the releases to the leader and gets a lease and the key space.
func (s *schedule) renew(p *fakeProcess) {
	if s.now < p.isolated || !s.chance(0.2) {
		return
	}
	for _, r := range p.requester.ReleasedRanges() {
		s.keyspace = s.applyRelease(r)
	}
	p.requester.SetRanges(s.keyspace)
	p.requester.SetLease(clock.At(s.now), scheduleLease)
	p.lastGrant = s.now
}

func (s *schedule) applyRelease(r fleet.ReleasedRange) []ranges.Range {
	apply := ranges.Release
	if r.Refused {
		apply = ranges.Refuse
	}
	next, _ := apply(s.keyspace, r.Range, r.HandoverToken)
	return next
}

// send delivers a call to the target and decides on its end. decided is the time at
// which the process decided on it.
func (s *schedule) send(p *fakeProcess, c grant.Call, stale bool) {
	f := p.target
	if c.Kind == grant.ReleaseCall {
		f.release(c.Range)
		end := callEnd{at: s.now + s.upTo(time.Second), call: c, result: grant.CallResult{Outcome: grant.CallDone, HandoverToken: "h"}}
		if s.chance(0.2) {
			end.at, end.result = s.now+c.Timeout, grant.CallResult{Outcome: grant.CallLost}
		}
		if s.reuseEarly && end.result.Outcome == grant.CallDone {
			s.keyspace, _ = ranges.Release(s.keyspace, c.Range, "h")
		}
		p.ends = append(p.ends, end)
		return
	}
	arrival := s.now + s.upTo(c.Timeout/2)
	g := fakeGrant{Range: c.Range, until: arrival + time.Duration(float64(c.Duration)*clockSlow), stale: stale}
	end := callEnd{at: arrival, call: c, result: grant.CallResult{Outcome: grant.CallDone}}
	switch {
	case s.chance(0.1): // applied late, without an answer
		f.delayed = append(f.delayed, delayedGrant{fakeGrant: g, at: arrival + s.upTo(lateApply)})
		end.at, end.result = s.now+c.Timeout, grant.CallResult{Outcome: grant.CallLost}
	case s.chance(0.05): // lost on its way
		end.at, end.result = s.now+c.Timeout, grant.CallResult{Outcome: grant.CallLost}
	case !f.apply(g):
		end.result.Outcome = grant.CallFenced
	}
	p.ends = append(p.ends, end)
}

// act makes a process do what is due.
func (s *schedule) act(p *fakeProcess) {
	if s.now < p.frozenUntil {
		return
	}
	for _, c := range p.unsent {
		s.send(p, c, true)
	}
	p.unsent = nil
	p.ends = slices.DeleteFunc(p.ends, func(e callEnd) bool {
		if e.at > s.now {
			return false
		}
		p.requester.HandleResult(clock.At(s.now), e.call.ID, e.result)
		return true
	})
	s.renew(p)
	p.requester.ReleaseExpired(clock.At(s.now))
	calls := p.requester.NextCalls(clock.At(s.now))
	if len(calls) > 0 && s.chance(0.01) {
		p.frozenUntil, p.unsent = s.now+s.upTo(4*time.Second), calls
		return
	}
	for _, c := range calls {
		s.send(p, c, false)
	}
}

// run returns a description of the first violation, or "".
func (s *schedule) run() string {
	for ; s.now < scheduleLength; s.now += scheduleStep {
		s.lead()
		for _, p := range s.processes {
			s.disturb(p)
			p.target.advance(s.now)
			s.act(p)
		}
		for _, key := range probes {
			if text := s.check(key); text != "" {
				return text
			}
		}
	}
	return ""
}

// check returns a description of two targets that hold a key, or "".
func (s *schedule) check(key uint16) string {
	holders := ""
	n := 0
	for _, p := range s.processes {
		if p.target.holds(key) {
			n++
			holders += " " + p.holder.Target
		}
	}
	if n < 2 {
		return ""
	}
	return fmt.Sprintf("%s: key %d is held by%s", s.now, key, holders)
}

// runSchedules runs schedules in parallel and returns the violations by seed.
func runSchedules(n int, first uint64, prepare func(*schedule)) map[uint64]string {
	var mu sync.Mutex
	found := map[uint64]string{}
	var next atomic.Int64
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for i := next.Add(1) - 1; i < int64(n); i = next.Add(1) - 1 {
				s := newSchedule(first + uint64(i))
				prepare(s)
				if text := s.run(); text != "" {
					mu.Lock()
					found[first+uint64(i)] = text
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	return found
}

// Guards against two targets that hold a key at the same time, with calls that are
// lost or applied late, frozen and restarted processes, and moves of parts of ranges.
func TestSoleOwnerInGeneratedSchedules(t *testing.T) {
	found := runSchedules(*scheduleCount, *scheduleSeed, func(*schedule) {})
	for seed, text := range found {
		t.Errorf("seed %d: %s", seed, text)
	}
}

// Guards against schedules that would not detect a range that is reused early.
func TestSchedulesDetectEarlyReuse(t *testing.T) {
	found := runSchedules(200, 1, func(s *schedule) { s.reuseEarly = true })
	if len(found) == 0 {
		t.Error("no schedule detects ranges that are reused while a call may still be applied")
	}
}

// Guards against schedules in which ranges are hardly ever granted, which would
// detect nothing: a third of the time at least, a key has a holder.
func TestSchedulesGrantRanges(t *testing.T) {
	held, steps := 0, 0
	for seed := range uint64(50) {
		s := newSchedule(seed)
		for ; s.now < scheduleLength; s.now += scheduleStep {
			s.lead()
			for _, p := range s.processes {
				p.target.advance(s.now)
				s.act(p)
			}
			steps++
			if slices.ContainsFunc(s.processes, func(p *fakeProcess) bool { return p.target.holds(20_000) }) {
				held++
			}
		}
	}
	if held*3 < steps {
		t.Errorf("key held in %d of %d steps", held, steps)
	}
}
