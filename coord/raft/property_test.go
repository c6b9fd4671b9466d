package raft

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// action is one step of a generated schedule.
type action struct {
	Kind string
	A, B int
	Time int
}

var actionKinds = []string{"run", "run", "run", "run", "write", "write", "write", "write", "write", "write",
	"read", "read", "read", "lease", "lease", "lease", "crash", "restart", "cut",
	"isolate", "heal", "heal", "freeze", "transfer", "compact", "grow", "promote", "remove"}

func actions() *rapid.Generator[action] {
	return rapid.Custom(func(t *rapid.T) action {
		return action{
			Kind: rapid.SampledFrom(actionKinds).Draw(t, "kind"),
			A:    rapid.IntRange(0, 6).Draw(t, "a"), B: rapid.IntRange(0, 6).Draw(t, "b"),
			Time: rapid.IntRange(1, 25).Draw(t, "time"),
		}
	})
}

func (s *sim) do(a action) {
	x, y := s.replicas[a.A%len(s.replicas)], s.replicas[a.B%len(s.replicas)]
	l := s.leader()
	switch a.Kind {
	case "run":
		s.run(a.Time)
	case "write":
		s.write(x)
		if l != nil {
			s.write(l)
		}
	case "read":
		s.read(x)
		if l != nil {
			s.read(l)
		}
	case "lease":
		for _, r := range s.replicas {
			s.leaseRead(r)
		}
	case "crash":
		s.crash(x)
	case "restart":
		if x.node == nil {
			s.start(x)
		}
	case "cut":
		s.cuts[[2]ID{x.id, y.id}] = true
	case "isolate":
		s.isolate(x, true)
	case "heal":
		s.cuts = map[[2]ID]bool{}
	case "freeze":
		if x.node != nil {
			x.frozen = max(x.frozen, s.now+int64(a.Time)*tickTime)
		}
	case "compact":
		if x.frozen <= s.now {
			s.compact(x)
		}
	default:
		if l != nil && l.frozen <= s.now {
			s.change(l, a, x.id)
		}
	}
	s.run(1)
}

// change asks the leader for a change of leader or membership.
func (s *sim) change(l *replica, a action, id ID) {
	s.catchUp(l)
	switch a.Kind {
	case "transfer":
		_ = l.node.TransferLeadership(id)
	case "grow":
		id = ID(fmt.Sprintf("n%d", len(s.replicas)+1))
		if len(s.replicas) < 7 {
			if _, err := l.node.ProposeMembership(MembershipChange{Kind: AddLearner, ID: id}); err == nil {
				s.start(s.add(id, PersistentState{}))
			}
		}
	case "promote":
		for _, learner := range l.node.membership().Learners {
			_, _ = l.node.ProposeMembership(MembershipChange{Kind: Promote, ID: learner})
		}
	case "remove":
		_, _ = l.node.ProposeMembership(MembershipChange{Kind: Remove, ID: id})
	}
	s.pump(l)
}

// schedule runs a generated schedule and all checks.
func schedule(t *rapid.T, voters int) {
	s := newSim(t, rapid.Uint64().Draw(t, "seed"), voters)
	s.loss = rapid.Float64Range(0, 0.2).Draw(t, "loss")
	s.dup = rapid.Float64Range(0, 0.2).Draw(t, "dup")
	s.delay = rapid.Int64Range(1, 3*tickTime).Draw(t, "delay")
	s.cfg.KeepEntries = rapid.IntRange(0, 3).Draw(t, "keep")
	s.run(15)
	for _, a := range rapid.SliceOfN(actions(), 20, 120).Draw(t, "actions") {
		s.do(a)
	}
	s.checkLogs()
	s.converge()
	s.checkLinearizable()
}

// TestSchedules guards against every violation named in sim_check_test.go
// and sim_client_test.go: two leaders in a term, two QuorumActive leaders,
// diverging logs, lost committed entries, stale reads, and a group that does
// not recover.
func TestSchedules(t *testing.T) {
	t.Run("three", rapid.MakeCheck(func(t *rapid.T) { schedule(t, 3) }))
	t.Run("five", rapid.MakeCheck(func(t *rapid.T) { schedule(t, 5) }))
}

// recorder turns the failure of a simulation into a value.
type recorder struct{ message string }

var errStopped = errors.New("stopped")

func (*recorder) Helper() {}
func (r *recorder) Fatalf(format string, args ...any) {
	r.message = fmt.Sprintf(format, args...)
	panic(errStopped)
}

// violation runs seeded schedules of the given actions until a check fails
// and returns its text.
func violation(seeds uint64, kinds []string, prepare func(*sim)) (found string) {
	for seed := range seeds {
		r := &recorder{}
		func() {
			defer func() {
				if e := recover(); e != nil && e != errStopped {
					panic(e)
				}
			}()
			s := newSim(r, seed, 3)
			s.loss, s.delay = 0.1, tickTime
			prepare(s)
			for range 120 {
				kind := kinds[s.rnd.IntN(len(kinds))]
				s.do(action{Kind: kind, A: s.rnd.IntN(7), B: s.rnd.IntN(7), Time: 1 + s.rnd.IntN(12)})
			}
			s.converge()
			s.checkLinearizable()
		}()
		if r.message != "" {
			return r.message
		}
	}
	return ""
}

// drifting returns settings that use up the clock bound: the first replica is
// slow, the others are fast, and messages to the first one may be late.
func drifting(slowest, fastest, late int64) func(*sim) {
	return func(s *sim) {
		s.loss, s.delay, s.disk, s.slow = 0, 50, 0, late
		s.replicas[0].period, s.replicas[1].period, s.replicas[2].period = slowest, fastest, fastest
	}
}

var leaderKinds = []string{"run", "run", "transfer", "transfer", "isolate", "heal"}

// TestQuorumActiveMargin guards against a leader that still answers when the
// next one is elected, with clocks at the edge of the stated bound.
func TestQuorumActiveMargin(t *testing.T) {
	is := is.New(t)
	is.Equal(violation(400, leaderKinds, drifting(1050, 950, 0)), "")
	is.Equal(violation(400, leaderKinds, drifting(1050, 950, 6*tickTime)), "")
}

// TestReadsNeedNoClockBound guards against a read index that relies on clocks:
// an old leader whose clock is far too slow must not answer reads.
func TestReadsNeedNoClockBound(t *testing.T) {
	is := is.New(t)
	kinds := []string{"run", "run", "transfer", "isolate", "heal", "write", "write", "read", "read", "read"}
	is.Equal(violation(200, kinds, func(s *sim) {
		drifting(1600, 500, 0)(s)
		s.noBound = true
	}), "")
}

// TestChecksNoticeLostData guards against a simulation whose checks pass
// whatever happens: a driver that does not persist must be noticed.
func TestChecksNoticeLostData(t *testing.T) {
	is := is.New(t)
	is.Equal(violation(40, actionKinds, func(*sim) {}), "") // the correct driver passes
	faults := []struct {
		name, text string
		kinds      []string
		prepare    func(*sim)
	}{
		{"term and vote not persisted", "election safety", []string{"run", "crash", "restart"},
			func(s *sim) { s.noHard = true }},
		{"sync skipped", "", actionKinds, func(s *sim) { s.noSync = true }},
		{"clocks far outside the stated bound", "QuorumActive", leaderKinds, drifting(1600, 500, 0)},
	}
	for _, f := range faults {
		found := violation(400, f.kinds, f.prepare)
		t.Logf("%s: %s", f.name, found)
		is.True(found != "" && strings.Contains(found, f.text))
	}
}
