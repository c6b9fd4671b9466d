package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/quarantine"
	"bramleyquay.example/coord/ranges"
)

const ms = time.Millisecond

func holder(n int) ranges.Holder {
	return ranges.Holder{Target: fmt.Sprint("t", n), Incarnation: 1, Process: fmt.Sprint("p", n)}
}

// crash reports that target n ended at a time while it ran a request since started.
func crash(r *quarantine.Registry, f quarantine.Fingerprint, n int, started, ended time.Duration) {
	r.Record(clock.At(ended), quarantine.Report{Fingerprint: f, Target: holder(n), SinceStarted: ended - started})
}

func refused(r *quarantine.Registry, now time.Duration, f quarantine.Fingerprint) bool {
	for _, e := range r.Entries(clock.At(now)) {
		if e.Fingerprint == f {
			return e.Refused > 0
		}
	}
	return false
}

// Guards against a request that ends target after target and is never refused, and
// against one report that counts twice.
func TestRequestThatEndsTargetsIsRefused(t *testing.T) {
	is := is.New(t)
	r := quarantine.NewRegistry(quarantine.DefaultConfig())
	for n := range 3 {
		is.True(!refused(r, time.Duration(n)*time.Second, 1))
		at := time.Duration(n) * time.Second
		crash(r, 1, n, at-80*ms, at)
		crash(r, 1, n, at-80*ms, at+100*ms) // sent again
	}
	is.True(refused(r, 2*time.Second, 1))
	is.True(refused(r, 5*time.Minute, 1))
	is.True(!refused(r, 11*time.Minute, 1))
	crash(r, 1, 9, 11*time.Minute, 11*time.Minute+80*ms)
	is.True(refused(r, 11*time.Minute+80*ms, 1))
}

// Guards against frequent requests that are refused after several targets ended at
// the same time, for instance in a power failure.
func TestTargetsThatEndTogether(t *testing.T) {
	is := is.New(t)
	r := quarantine.NewRegistry(quarantine.DefaultConfig())
	for n := range 20 {
		crash(r, 1, n, time.Duration(n)*ms, 300*ms+time.Duration(n)*2*ms)
	}
	is.Equal(len(r.Entries(clock.At(time.Second))), 0)
}

// Guards against a long request that is refused because it ran while others ended
// targets one after the other.
func TestRequestSentBeforeTheLastCrash(t *testing.T) {
	is := is.New(t)
	r := quarantine.NewRegistry(quarantine.DefaultConfig())
	for n := range 5 {
		crash(r, 1, n, 0, time.Second+time.Duration(n)*500*ms)
	}
	is.Equal(len(r.Entries(clock.At(5*time.Second))), 0)
}

// Guards against frequent requests that are refused because each target that a
// request of another kind ended ran them as well: other targets complete them.
func TestCompletedRequestIsCleared(t *testing.T) {
	is := is.New(t)
	r := quarantine.NewRegistry(quarantine.DefaultConfig())
	crash(r, 1, 0, 0, 80*ms)
	crash(r, 1, 1, 1000*ms, 1080*ms)
	is.Equal(r.Entries(clock.At(1100 * ms))[0].Crashes, 2)
	before := r.Revision()
	r.Clear(clock.At(1200*ms), 1)
	is.True(r.Revision() != before)
	crash(r, 1, 2, 900*ms, 1150*ms) // reported late
	crash(r, 1, 3, 2000*ms, 2080*ms)
	crash(r, 1, 4, 3000*ms, 3080*ms)
	is.True(!refused(r, 3100*ms, 1))
	crash(r, 1, 5, 4000*ms, 4080*ms)
	is.True(refused(r, 4100*ms, 1))
}

// Guards against a change of leader that lets a refused request end more targets, or
// that counts crashes twice.
func TestAdoptedEntries(t *testing.T) {
	is := is.New(t)
	old := quarantine.NewRegistry(quarantine.DefaultConfig())
	for n := range 3 {
		at := time.Duration(n) * time.Second
		crash(old, 1, n, at-80*ms, at)
		if n < 2 {
			crash(old, 2, n, at-80*ms, at)
		}
	}
	next := quarantine.NewRegistry(quarantine.DefaultConfig())
	for range 3 { // from several processes
		for _, e := range old.Entries(clock.At(3 * time.Second)) {
			next.Adopt(clock.At(3*time.Second), e)
		}
	}
	for n := range 2 { // processes report their crashes again
		next.Record(clock.At(3*time.Second), quarantine.Report{Fingerprint: 2, Target: holder(n), SinceStarted: 3*time.Second - time.Duration(n)*time.Second + 80*ms, SinceEnded: 3*time.Second - time.Duration(n)*time.Second})
	}
	is.True(refused(next, 3*time.Second, 1))
	is.True(!refused(next, 3*time.Second, 2))
	is.True(!refused(next, 11*time.Minute, 1))
	is.Equal(next.Entries(clock.At(3 * time.Second))[1].Crashes, 2)
}

// Guards against memory without bound, and against the loss of a refused request
// when many others are suspected.
func TestSuspectsAreBounded(t *testing.T) {
	is := is.New(t)
	cfg := quarantine.DefaultConfig()
	cfg.MaxSuspects = 10
	r := quarantine.NewRegistry(cfg)
	for n := range 3 {
		at := time.Duration(n) * time.Second
		crash(r, 1, n, at-80*ms, at)
	}
	for f := range quarantine.Fingerprint(1000) {
		crash(r, 100+f, 50, 4*time.Second, 4*time.Second+80*ms)
	}
	is.True(refused(r, 5*time.Second, 1))
	r.Prune(clock.At(time.Hour))
	is.Equal(len(r.Entries(clock.At(time.Hour))), 0)
}

// Guards against a lost answer that counts as a crash, and against a crash that is
// missed because the connections and the listener do not end at the same moment.
func TestDetector(t *testing.T) {
	broken := func(f quarantine.Fingerprint, at time.Duration) quarantine.Crash {
		return quarantine.Crash{Fingerprint: f, Target: holder(1), Started: at - 50*ms, Ended: at}
	}
	t.Run("the target is still there", func(t *testing.T) {
		is := is.New(t)
		var d quarantine.Detector
		is.Equal(len(d.RequestBroken(0, broken(1, 0))), 0)
		is.Equal(len(d.TargetEnded(5*time.Second, holder(1))), 0)
	})
	t.Run("connections end first", func(t *testing.T) {
		is := is.New(t)
		var d quarantine.Detector
		d.RequestBroken(0, broken(1, 0))
		d.RequestBroken(1*ms, broken(2, 1*ms))
		is.Equal(len(d.TargetEnded(20*ms, holder(1))), 2)
		is.Equal(len(d.TargetEnded(30*ms, holder(1))), 0)
		is.Equal(len(d.RequestBroken(40*ms, broken(3, 40*ms))), 1)
	})
	t.Run("another incarnation", func(t *testing.T) {
		is := is.New(t)
		var d quarantine.Detector
		d.RequestBroken(0, broken(1, 0))
		is.Equal(len(d.TargetEnded(20*ms, holder(2))), 0)
	})
}

// Guards against completions that are forgotten while a suspicion arrives, and
// against older ones that clear it.
func TestCompletions(t *testing.T) {
	is := is.New(t)
	var c quarantine.Completions
	c.Record(time.Second, 1)
	for i := range 2000 {
		c.Record(2*time.Second, quarantine.Fingerprint(10+i))
	}
	is.True(c.Since(1, 500*ms))
	is.True(!c.Since(1, time.Second))
	is.True(!c.Since(2, 0))
	for i := range 2048 {
		c.Record(3*time.Second, quarantine.Fingerprint(5000+i))
	}
	is.True(!c.Since(1, 500*ms)) // bounded memory
}

// Guards against a request without any answer that ends several targets at the same
// time and is not refused.
func TestUnansweredRequestEndsTargetsTogether(t *testing.T) {
	is := is.New(t)
	r := quarantine.NewRegistry(quarantine.DefaultConfig())
	for n := range 3 {
		r.Record(clock.At(100*ms), quarantine.Report{Fingerprint: 1, Target: holder(n), SinceStarted: 80 * ms, First: true})
	}
	is.True(refused(r, 200*ms, 1))
}

// Guards against copies of an unanswered request that run at once, and against limits
// for requests that the target has answered.
func TestFirstRuns(t *testing.T) {
	is := is.New(t)
	r := quarantine.NewFirstRuns()
	start := func(f quarantine.Fingerprint) [2]bool {
		ok, first := r.Start(f)
		return [2]bool{ok, first}
	}
	is.Equal(start(1), [2]bool{true, true})
	is.Equal(start(1), [2]bool{false, false})
	is.Equal(start(2), [2]bool{true, true})
	r.RecordBroken(10*ms, 1)
	r.End(1)
	is.Equal(start(1), [2]bool{true, true})
	r.RecordAnswer(20*ms, 1)
	r.End(1)
	is.Equal(start(1), [2]bool{true, false})
	is.Equal(start(1), [2]bool{true, false})
	r.RecordBroken(30*ms, 1) // answered before, but not since
	is.True(!r.Answered(1))
	is.Equal(start(1), [2]bool{true, true})
	is.Equal(start(1), [2]bool{false, false})
	for f := range quarantine.Fingerprint(1000) {
		r.RecordBroken(40*ms, 100+f)
	}
	is.True(r.Answered(1)) // bounded memory
}
