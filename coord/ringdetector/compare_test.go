package ringdetector_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/lease"
	"bramleyquay.example/coord/ringdetector"
	"bramleyquay.example/coord/table"
)

const (
	tickInterval     = 50 * time.Millisecond
	simulationLength = 2 * time.Minute
	lossRate         = 0.01 // share of the messages
)

// fault is a pause of a member, or its permanent failure if length is zero.
type fault struct {
	member     int
	at, length time.Duration
}

// schedule returns pauses that no detector should report, failures of single
// members, and the failure of three neighbours at once.
func schedule(rng *rand.Rand, n int) (faults []fault, failures map[int]time.Duration, neighbours []int) {
	failures = map[int]time.Duration{}
	order := rng.Perm(n / 2) // the neighbours are in the upper half
	for i := range min(n/10+1, 10) {
		failures[order[i]] = 10*time.Second + time.Duration(i)*6*time.Second
	}
	for i := range 3 {
		failures[n/2+1+i] = 90 * time.Second
		neighbours = append(neighbours, n/2+1+i)
	}
	for m, at := range failures {
		faults = append(faults, fault{member: m, at: at})
	}
	for range 4 * n {
		faults = append(faults, fault{
			rng.IntN(n), time.Duration(rng.Int64N(int64(simulationLength))),
			time.Duration(100+rng.Int64N(700)) * time.Millisecond,
		})
	}
	slices.SortFunc(faults, func(a, b fault) int { return int(a.at - b.at) })
	return faults, failures, neighbours
}

type event struct {
	at  time.Duration
	seq int
	f   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].seq < e[j].seq)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulation simulates n members on a lossy network in virtual time.
type simulation struct {
	rng      *rand.Rand
	now      time.Duration
	queue    events
	seq      int
	paused   []time.Duration // time at which the pause ends, by member
	failed   []bool
	messages int
	// found is when a member was first reported after its failure.
	found map[int]time.Duration
	// falseReports is the number of reports of members that had not failed.
	falseReports int
}

func (s *simulation) clock() clock.Reading { return clock.At(time.Hour + s.now) }

func (s *simulation) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now + d, s.seq, f})
}

// deliver sends a message to member m and runs f when it arrives: after the
// network delay and m's pause. The message may be lost.
func (s *simulation) deliver(m int, f func()) {
	s.messages++
	if s.rng.Float64() < lossRate {
		return
	}
	s.after(500*time.Microsecond+time.Duration(s.rng.Int64N(int64(time.Millisecond))), func() { s.runAfterPause(m, f) })
}

// runAfterPause runs f at member m after its pause, or not at all if it has failed.
func (s *simulation) runAfterPause(m int, f func()) {
	switch {
	case s.failed[m]:
	case s.paused[m] > s.now:
		s.after(s.paused[m]-s.now, func() { s.runAfterPause(m, f) })
	default:
		f()
	}
}

// every runs f at member m repeatedly, d after the last run. A pause delays the
// run, a failure ends the repetition.
func (s *simulation) every(m int, d time.Duration, f func()) {
	s.after(d, func() {
		s.runAfterPause(m, func() { f(); s.every(m, d, f) })
	})
}

// report records that member m was reported as failed.
func (s *simulation) report(m int) {
	if !s.failed[m] {
		s.falseReports++
	} else if _, ok := s.found[m]; !ok {
		s.found[m] = s.now
	}
}

func newSimulation(seed uint64, n int, faults []fault) *simulation {
	s := &simulation{
		rng: rand.New(rand.NewPCG(seed, 9)), paused: make([]time.Duration, n), failed: make([]bool, n),
		found: map[int]time.Duration{},
	}
	for _, f := range faults {
		s.after(f.at, func() {
			if f.length == 0 {
				s.failed[f.member] = true
			} else {
				s.paused[f.member] = max(s.paused[f.member], s.now+f.length)
			}
		})
	}
	return s
}

func (s *simulation) run() {
	for len(s.queue) > 0 && s.queue[0].at <= simulationLength {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.f()
	}
}

func id(m int) table.MemberID { return table.MemberID(fmt.Sprintf("m%04d", m)) }

func index(id table.MemberID) (m int) {
	if _, err := fmt.Sscanf(string(id), "m%d", &m); err != nil {
		panic(err)
	}
	return m
}

// runRing runs the simulation with a ring detector at every member.
func runRing(s *simulation, n int, cfg ringdetector.Config) {
	var ids []table.MemberID
	for m := range n {
		ids = append(ids, id(m))
	}
	detectors := make([]*ringdetector.Detector, n)
	var execute func(m int, actions []ringdetector.Action)
	execute = func(m int, actions []ringdetector.Action) {
		for _, action := range actions {
			switch a := action.(type) {
			case ringdetector.Suspect:
				s.report(index(a.Member))
			case ringdetector.Send:
				to := index(a.To)
				s.deliver(to, func() { execute(to, detectors[to].Receive(s.clock(), a.Message)) })
			}
		}
	}
	for m := range n {
		c := cfg
		c.Self = id(m)
		detectors[m] = ringdetector.NewDetector(c, ids, s.clock())
		s.after(time.Duration(s.rng.Int64N(int64(cfg.Period))), func() {
			s.every(m, tickInterval, func() { execute(m, detectors[m].Tick(s.clock())) })
		})
	}
	s.run()
}

// runLeases runs the simulation with leases: every member renews its lease at one
// tracker.
func runLeases(s *simulation, n int, cfg lease.Config) {
	tracker := lease.NewTracker(cfg)
	tracker.Reset(s.clock())
	lost := make([]bool, n)
	for m := range n {
		s.after(time.Duration(s.rng.Int64N(int64(cfg.RenewInterval))), func() {
			s.every(m, cfg.RenewInterval, func() {
				s.messages += 2 // the renewal and its reply
				if s.rng.Float64() >= lossRate {
					s.after(time.Millisecond, func() { tracker.RecordRenewal(id(m), s.clock()); lost[m] = false })
				}
			})
		})
	}
	var check func()
	check = func() {
		for m := range n {
			if !lost[m] && tracker.Expired(id(m), false, s.clock()) {
				lost[m] = true
				s.report(m)
			}
		}
		s.after(tickInterval, check)
	}
	check()
	s.run()
}

// TestCompare logs detection times, messages and false suspicions of leases and
// of the ring under the same pauses, failures and message losses. It guards
// against leases that miss a failure or take 2 s or longer to detect the
// failure of three neighbours. The decision for leases is based on this
// comparison.
func TestCompare(t *testing.T) {
	is := is.New(t)
	cfg := lease.Default()
	t.Log("| members | detector | single loss, mean / worst | three neighbours at once, last found | messages/s | false suspicions | not found |")
	for _, n := range []int{10, 100, 1000} {
		faults, failures, neighbours := schedule(rand.New(rand.NewPCG(uint64(n), 3)), n)
		for _, name := range []string{"lease", "ring"} {
			s := newSimulation(uint64(n), n, faults)
			if name == "lease" {
				runLeases(s, n, cfg)
			} else {
				runRing(s, n, ringdetector.Config{Period: cfg.RenewInterval, Timeout: cfg.Duration + cfg.MaxClockDrift + cfg.Grace})
			}
			var sum, worst, last time.Duration
			missing, single := 0, 0
			for m, at := range failures {
				found, ok := s.found[m]
				switch {
				case !ok:
					missing++
				case slices.Contains(neighbours, m):
					last = max(last, found-at)
				default:
					single++
					sum += found - at
					worst = max(worst, found-at)
				}
			}
			t.Logf("| %d | %s | %.2f s / %.2f s | %.2f s | %.0f | %d | %d |", n, name,
				sum.Seconds()/float64(max(single, 1)), worst.Seconds(), last.Seconds(),
				float64(s.messages)/simulationLength.Seconds(), s.falseReports, missing)
			if name == "lease" {
				is.Equal(missing, 0)
				is.True(last < 2*time.Second)
			}
		}
	}
}
