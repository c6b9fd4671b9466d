package idempotency_test

import (
	"flag"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"bramleyquay.example/coord/idempotency"
	"bramleyquay.example/coord/outcome"
)

// step is one event of a generated schedule.
type step struct {
	DelayMs int // after the previous step
	Kind    int
	A, B    int
}

var steps = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
	return step{
		DelayMs: rapid.IntRange(0, 400).Draw(t, "at"),
		Kind:    rapid.IntRange(0, 13).Draw(t, "kind"),
		A:       rapid.IntRange(0, 3).Draw(t, "a"),
		B:       rapid.IntRange(0, 3).Draw(t, "b"),
	}
}), 5, 60)

// apply performs a step on the simulation.
func (s *sim) apply(st step) {
	a, b := s.nodes[st.A], s.nodes[st.B]
	wait := s.between(300*time.Millisecond, 3*time.Second)
	switch st.Kind {
	case 0, 1, 2, 3:
		s.pay(st.A, s.chance(0.1), st.B, wait)
	case 4, 5: // two concurrent requests with one key
		s.pay(st.A, false, st.B, wait)
		s.pay(st.A, false, s.rng.IntN(len(s.nodes)), wait)
	case 6: // a later retry through another member
		s.pay(st.A, false, st.B, wait)
		s.after(s.between(100*time.Millisecond, 4*time.Second), func() { s.pay(st.A, false, (st.B+1)%4, wait) })
	case 7, 8: // freeze
		if !a.dead && !a.frozen {
			a.frozen = true
			inc := a.incarnation
			s.after(s.between(50*time.Millisecond, 4*time.Second), func() {
				if a.incarnation == inc && a.frozen {
					a.resume()
				}
			})
		}
	case 9: // kill and start again
		a.dead = true
		s.after(s.between(100*time.Millisecond, 3*time.Second), func() {
			if a.dead {
				a.restart()
			}
		})
	case 10, 11:
		s.control.move(st.A%2, st.B)
	case 12: // one-way link failure
		s.cutUntil[[2]int{a.index, b.index}] = s.now + s.between(100*time.Millisecond, 3*time.Second)
	case 13: // cut off from control
		s.cutUntil[[2]int{a.index, controlIndex}] = s.now + s.between(100*time.Millisecond, 3*time.Second)
		s.cutUntil[[2]int{controlIndex, a.index}] = s.now + s.between(100*time.Millisecond, 3*time.Second)
	}
}

// TestRandomFaults guards against a second run of a payment, the outcome not-run for
// a payment that ran, and a retry with another response, under message loss, delay
// and duplication, freezes, restarts, moves and partitions. After all faults have
// ended, a new payment has to succeed.
func TestRandomFaults(t *testing.T) {
	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		is.New(t).NoErr(flag.Set("rapid.checks", "1000"))
		defer func() { _ = flag.Set("rapid.checks", f.DefValue) }()
	}
	var done, notRun, unknown, unanswered, runs, histories int
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64().Draw(t, "seed"), 4, true)
		s.run(400 * time.Millisecond)
		for _, st := range steps.Draw(t, "steps") {
			s.run(s.now + time.Duration(st.DelayMs)*time.Millisecond)
			s.apply(st)
		}
		s.run(s.now + 5*time.Second)
		histories++
		runs += len(s.history.runs)
		done += s.history.count(outcome.Done)
		notRun += s.history.count(outcome.NotRun)
		unknown += s.history.count(outcome.Unknown)
		unanswered += len(s.history.order) - len(s.history.results)
		s.heal()
		s.run(s.now + 10*time.Second)
		for unit := range 2 {
			s.pay(simKeys+unit, false, s.control.entries[unit].owner, time.Second)
		}
		s.run(s.now + 3*time.Second)
		for _, f := range s.history.check() {
			t.Error(f)
		}
		s.checkAnswered(t)
		s.checkRecovered(t)
	})
	t.Logf("%d histories: %d runs, answers: %d done, %d not-run, %d unknown (%.1f%%), %d without an answer (process or message lost, cancelled, or no known owner)",
		histories, runs, done, notRun, unknown, 100*float64(unknown)/float64(done+notRun+unknown), unanswered)
}

// heal ends all faults.
func (s *sim) heal() {
	s.faults = false
	clear(s.cutUntil)
	for _, n := range s.nodes {
		if n.dead {
			n.restart()
		} else if n.frozen {
			n.resume()
		}
	}
}

// checkAnswered reports requests without an answer although the process that
// received them still runs.
func (s *sim) checkAnswered(t *rapid.T) {
	for _, id := range s.history.order {
		for _, n := range s.nodes {
			if s.history.handledBy[id] == n.incarnation && len(s.history.results[id]) == 0 {
				t.Errorf("request %d got no answer from %v", id, n)
			}
		}
	}
}

// checkRecovered reports units that do not serve new payments after the faults
// have ended.
func (s *sim) checkRecovered(t *rapid.T) {
	for i, id := range s.history.order[len(s.history.order)-2:] {
		results := s.history.results[id]
		lost := s.control.entries[i].recordsLost
		switch {
		case len(results) == 1 && results[0].outcome == outcome.Done:
		case len(results) == 1 && results[0].outcome == outcome.Unknown && lost:
		case len(results) == 1 && results[0].outcome == outcome.NotRun && results[0].reason == "":
			// The process refused it after Dispatch; see node.dispatch.
		default:
			t.Errorf("unit %d does not serve after the faults ended: %v, entry %+v", i, results, s.control.entries[i])
		}
	}
}

// TestNoFaults guards against the outcome unknown without any fault.
func TestNoFaults(t *testing.T) {
	is := is.New(t)
	s := newSim(1, 4, false)
	s.run(time.Second)
	for i := range 200 {
		s.pay(i%simKeys, false, i%4, 2*time.Second)
		s.run(s.now + 37*time.Millisecond)
	}
	s.run(s.now + 3*time.Second)
	is.Equal(s.history.check(), nil)
	is.Equal(s.history.count(outcome.Unknown), 0)
	is.Equal(len(s.history.runs), simKeys)
}

// TestHistoryCheck guards against a history check that misses violations.
func TestHistoryCheck(t *testing.T) {
	request := func(h *history, id uint64, key string, digest byte) {
		h.issued(idempotency.Request{ID: id, Key: key, Digest: [32]byte{digest}})
	}
	cases := map[string]func(h *history){
		"payment k ran twice: requests 1 and 2": func(h *history) { h.ran(1); h.ran(2) },
		"request 1 was answered not-run (deadline) and ran": func(h *history) {
			h.ran(1)
			h.answered(1, result{outcome: outcome.NotRun, reason: outcome.ReasonDeadline})
		},
		`request 2 got "other", the first answer was "receipt 0"`: func(h *history) {
			h.ran(1)
			h.answered(2, result{outcome: outcome.Done, answer: "other"})
		},
		"request 3 got the answer to another body": func(h *history) {
			h.ran(1)
			h.answered(3, result{outcome: outcome.Done, answer: answerOf(0)})
		},
		"request 1 got an answer and payment k never ran": func(h *history) {
			h.answered(1, result{outcome: outcome.Done, answer: answerOf(0)})
		},
		"request 1 got 2 answers": func(h *history) {
			h.answered(1, result{outcome: outcome.Unknown})
			h.answered(1, result{outcome: outcome.Unknown})
		},
	}
	for want, violate := range cases {
		is := is.New(t)
		h := &history{}
		request(h, 1, "k", 0)
		request(h, 2, "k", 0)
		request(h, 3, "k", 1)
		violate(h)
		is.Equal(h.check(), []string{want})
	}
}
