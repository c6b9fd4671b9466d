package control

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"bramleyquay.example/coord/clock"
)

// event is a function that runs at a point of true time.
type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int      { return len(q) }
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].seq < q[j].seq)
}
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simClock simulates the monotonic and the wall clock of a process. Rates differ by at
// most 1.8%, which is within the drift bound of 20 ms over a lease of 1,000 ms.
type simClock struct {
	monoRate, wallRate float64
	frozen             time.Duration // true time that the monotonic clock missed
	pausedAt           time.Duration
	paused             bool
	monoStops          bool // the monotonic clock stops while paused
	wallStep           time.Duration
}

func newClock(rng *rand.Rand) simClock {
	rate := func() float64 { return 0.991 + 0.018*rng.Float64() }
	return simClock{monoRate: rate(), wallRate: rate()}
}

func (c *simClock) at(t time.Duration) clock.Reading {
	missed := c.frozen
	if c.paused && c.monoStops {
		missed += t - c.pausedAt
	}
	return clock.Reading{
		Mono: time.Duration(float64(t-missed) * c.monoRate),
		Wall: time.Duration(float64(t)*c.wallRate) + c.wallStep,
	}
}

func (c *simClock) pause(t time.Duration, stops bool) {
	c.paused, c.pausedAt, c.monoStops = true, t, stops
}

func (c *simClock) resume(t time.Duration) {
	if c.monoStops {
		c.frozen += t - c.pausedAt
	}
	c.paused = false
}

// replica is a control replica: a State that applies the log with a delay, and a
// Controller.
type replica struct {
	clock   simClock
	state   *State
	ctl     *Controller
	applied int // log entries applied
}

// sim simulates a small cluster in virtual time. Its log is a list of committed
// commands, because consensus is not under test here.
type sim struct {
	rng      *rand.Rand
	now      time.Duration // true time; the clocks of the processes run up to 0.9% slower or faster
	queue    eventQueue
	seq      int
	replicas []*replica
	leader   int // -1 while there is none
	term     int
	log      []Command
	members  []*simMember
	oracle   *State // the state after the whole log
	check    *checker
	loss     float64 // share of messages that are lost
	lag      time.Duration
	changes  int
}

func newSim(seed uint64, members int) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 1)), leader: -1, oracle: NewState(), loss: 0.02, lag: 10 * time.Millisecond}
	s.check = newChecker()
	for range 2 {
		s.replicas = append(s.replicas, &replica{
			clock: newClock(s.rng), state: NewState(), ctl: NewController(simConfig(), rand.New(rand.NewPCG(seed, 2))),
		})
	}
	for i := range members {
		s.members = append(s.members, newSimMember(s, i))
	}
	s.elect(0)
	s.after(5*time.Millisecond, s.tick)
	return s
}

// simConfig shortens intervals that would only make the simulation longer.
func simConfig() Config {
	c := DefaultConfig()
	c.ProposalTimeout = 300 * time.Millisecond
	c.RebalanceInterval = 300 * time.Millisecond
	c.Placement.MoveCooldown = time.Second
	return c
}

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, event{at: s.now + d, seq: s.seq, run: run})
}

func (s *sim) runUntil(end time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

func (s *sim) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rng.Int64N(int64(high-low)))
}

// delay returns the delivery time of a message: at most 10 ms, but in 5% of the cases
// up to 1.5 s, which exceeds a lease.
func (s *sim) delay() time.Duration {
	if s.rng.Float64() < 0.05 {
		return s.between(50*time.Millisecond, 1500*time.Millisecond)
	}
	return s.between(200*time.Microsecond, 10*time.Millisecond)
}

// send delivers a message by running f after a delay. Messages may be lost, and 5% are
// delivered twice.
func (s *sim) send(f func()) {
	if s.rng.Float64() < s.loss {
		return
	}
	s.after(s.delay(), f)
	if s.rng.Float64() < 0.05 {
		s.after(s.delay(), f)
	}
}

// tick calls Tick of the leader every 50 ms.
func (s *sim) tick() {
	s.after(50*time.Millisecond, s.tick)
	if s.leader < 0 {
		return
	}
	if r := s.replicas[s.leader]; !r.clock.paused {
		s.propose(r.ctl.Tick(r.clock.at(s.now), r.state))
	}
}

// propose commits commands after a delay if the term is still the same. 3% are lost.
// 5% are delayed by 200 ms to 2 s: a proposal that the leader has already made again
// may still be committed.
func (s *sim) propose(commands []Command) {
	term := s.term
	for _, c := range commands {
		data, err := EncodeCommand(c)
		if err != nil {
			panic(err)
		}
		d := s.between(time.Millisecond, 5*time.Millisecond)
		switch p := s.rng.Float64(); {
		case p < 0.03:
			continue
		case p < 0.08:
			d = s.between(200*time.Millisecond, 2*time.Second)
		}
		s.after(d, func() {
			if s.term == term {
				s.commit(data)
			}
		})
	}
}

// commit appends a command to the log and schedules its application at all replicas.
func (s *sim) commit(data []byte) {
	c, err := DecodeCommand(data)
	if err != nil {
		panic(err)
	}
	s.log = append(s.log, c)
	s.oracle.Apply(uint64(len(s.log)), c)
	s.check.checkLog(s.now, s.oracle)
	for _, r := range s.replicas {
		s.after(s.between(0, s.lag), func() { s.catchUp(r, len(s.log)) })
	}
}

// catchUp applies the first upTo entries of the log.
func (s *sim) catchUp(r *replica, upTo int) {
	for ; r.applied < upTo; r.applied++ {
		c := s.log[r.applied]
		res := r.state.Apply(uint64(r.applied+1), c)
		r.ctl.OnApplied(r.clock.at(s.now), r.state, c, res)
	}
}

// depose ends the leader's term. Its pending proposals are committed before the next
// term or not at all.
func (s *sim) depose() {
	if s.leader < 0 {
		return
	}
	s.replicas[s.leader].ctl.BecomeFollower()
	s.leader = -1
}

// elect lets a replica apply the whole log and makes it the leader.
func (s *sim) elect(i int) {
	s.depose()
	s.term++
	r := s.replicas[i]
	if r.clock.paused {
		r.clock.resume(s.now)
	}
	s.catchUp(r, len(s.log))
	s.leader = i
	r.ctl.BecomeLeader(r.clock.at(s.now))
}
