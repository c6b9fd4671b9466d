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
	Time int // ticks
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

func (s *sim) perform(a action) {
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
			x.frozenUntil = max(x.frozenUntil, s.now+int64(a.Time)*tickTime)
		}
	case "compact":
		if x.frozenUntil <= s.now {
			s.compact(x)
		}
	default:
		if l != nil && l.frozenUntil <= s.now {
			s.change(l, a, x.id)
		}
	}
	s.run(1)
}

// change requests a change of leader or membership from the leader.
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
	s.handleReady(l)
}

// runSchedule runs a generated schedule and all checks.
func runSchedule(t *rapid.T, voters int) {
	s := newSim(t, rapid.Uint64().Draw(t, "seed"), voters)
	s.loss = rapid.Float64Range(0, 0.2).Draw(t, "loss")
	s.duplication = rapid.Float64Range(0, 0.2).Draw(t, "dup")
	s.maxDelay = rapid.Int64Range(1, 3*tickTime).Draw(t, "delay")
	s.cfg.KeepEntries = rapid.IntRange(0, 3).Draw(t, "keep")
	s.run(15)
	for _, a := range rapid.SliceOfN(actions(), 20, 120).Draw(t, "actions") {
		s.perform(a)
	}
	s.checkLogs()
	s.converge()
	s.checkLinearizable()
}

// TestSchedules guards against the violations that sim_check_test.go and
// sim_client_test.go check for: two leaders in a term, two QuorumActive leaders,
// diverging logs, lost committed entries, stale reads, and a group that does not
// recover. It runs random schedules of faults, requests and membership changes.
func TestSchedules(t *testing.T) {
	t.Run("three", rapid.MakeCheck(func(t *rapid.T) { runSchedule(t, 3) }))
	t.Run("five", rapid.MakeCheck(func(t *rapid.T) { runSchedule(t, 5) }))
}

// failureRecorder records the failure of a simulation instead of failing the test.
type failureRecorder struct{ message string }

var errStopped = errors.New("stopped")

func (*failureRecorder) Helper() {}
func (r *failureRecorder) Fatalf(format string, args ...any) {
	r.message = fmt.Sprintf(format, args...)
	panic(errStopped)
}

// findViolation runs seeded schedules of the given actions until a check fails, and
// returns the message of the failure, or an empty string.
func findViolation(seeds uint64, kinds []string, prepare func(*sim)) (found string) {
	for seed := range seeds {
		r := &failureRecorder{}
		func() {
			defer func() {
				if e := recover(); e != nil && e != errStopped {
					panic(e)
				}
			}()
			s := newSim(r, seed, 3)
			s.loss, s.maxDelay = 0.1, tickTime
			prepare(s)
			for range 120 {
				kind := kinds[s.rng.IntN(len(kinds))]
				s.perform(action{Kind: kind, A: s.rng.IntN(7), B: s.rng.IntN(7), Time: 1 + s.rng.IntN(12)})
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

// driftingClocks sets the tick periods of the replicas, in virtual time units:
// slowPeriod for the first one, fastPeriod for the others. Messages to the first one
// are delayed by up to late units more. No message is lost, and no sync takes time.
func driftingClocks(slowPeriod, fastPeriod, late int64) func(*sim) {
	return func(s *sim) {
		s.loss, s.maxDelay, s.slowSyncPercent, s.extraDelay = 0, 50, 0, late
		s.replicas[0].period, s.replicas[1].period, s.replicas[2].period = slowPeriod, fastPeriod, fastPeriod
	}
}

var leaderKinds = []string{"run", "run", "transfer", "transfer", "isolate", "heal"}

// TestQuorumActiveMargin guards against a leader that is still QuorumActive when the
// next one is elected, with tick rates at the bound in the package comment.
func TestQuorumActiveMargin(t *testing.T) {
	is := is.New(t)
	is.Equal(findViolation(400, leaderKinds, driftingClocks(1050, 950, 0)), "")
	is.Equal(findViolation(400, leaderKinds, driftingClocks(1050, 950, 6*tickTime)), "")
}

// TestReadsNeedNoClockBound guards against a ReadIndex that relies on clocks: an old
// leader whose clock is far too slow must not answer reads.
func TestReadsNeedNoClockBound(t *testing.T) {
	is := is.New(t)
	kinds := []string{"run", "run", "transfer", "isolate", "heal", "write", "write", "read", "read", "read"}
	is.Equal(findViolation(200, kinds, func(s *sim) {
		driftingClocks(1600, 500, 0)(s)
		s.unboundedClocks = true
	}), "")
}

// TestChecksNoticeLostData guards against a simulation whose checks miss violations:
// they must find those of a driver that does not persist, and of clocks outside the
// bound.
func TestChecksNoticeLostData(t *testing.T) {
	is := is.New(t)
	is.Equal(findViolation(40, actionKinds, func(*sim) {}), "") // the correct driver passes
	faults := []struct {
		name, text string
		kinds      []string
		prepare    func(*sim)
	}{
		{"term and vote not persisted", "election safety", []string{"run", "crash", "restart"},
			func(s *sim) { s.skipHardState = true }},
		{"sync skipped", "", actionKinds, func(s *sim) { s.skipSync = true }},
		{"clocks far outside the stated bound", "QuorumActive", leaderKinds, driftingClocks(1600, 500, 0)},
	}
	for _, f := range faults {
		found := findViolation(400, f.kinds, f.prepare)
		t.Logf("%s: %s", f.name, found)
		is.True(found != "" && strings.Contains(found, f.text))
	}
}
