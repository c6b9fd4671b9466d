package control

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"bramleyquay.example/coord/clock"
)

// event is something that happens at a true time.
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

// simClock is one process's pair of clocks. Rates differ by at most 1.8%,
// which is within the drift bound of 20 ms over a lease of 1,000 ms.
type simClock struct {
	monoRate, wallRate float64
	frozen             time.Duration // true time that the monotonic clock missed
	pausedAt           time.Duration
	paused             bool
	stops              bool // the monotonic clock does not run while paused
	wallStep           time.Duration
}

func newClock(rng *rand.Rand) simClock {
	rate := func() float64 { return 0.991 + 0.018*rng.Float64() }
	return simClock{monoRate: rate(), wallRate: rate()}
}

func (c *simClock) at(t time.Duration) clock.Reading {
	missed := c.frozen
	if c.paused && c.stops {
		missed += t - c.pausedAt
	}
	return clock.Reading{
		Mono: time.Duration(float64(t-missed) * c.monoRate),
		Wall: time.Duration(float64(t)*c.wallRate) + c.wallStep,
	}
}

func (c *simClock) pause(t time.Duration, stops bool) {
	c.paused, c.pausedAt, c.stops = true, t, stops
}

func (c *simClock) resume(t time.Duration) {
	if c.stops {
		c.frozen += t - c.pausedAt
	}
	c.paused = false
}

// replica is one control replica: a State that follows the log with a lag, and
// a Controller.
type replica struct {
	clock   simClock
	state   *State
	ctl     *Controller
	applied int // log entries applied
}

// sim is a small cluster in virtual time. The log is a list of committed
// commands: consensus is not under test here.
type sim struct {
	rng      *rand.Rand
	now      time.Duration
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

// simConfig shortens what only costs virtual time.
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

// delay is a message's time on the way: mostly short, now and then long enough
// to outlive a lease.
func (s *sim) delay() time.Duration {
	if s.rng.Float64() < 0.05 {
		return s.between(50*time.Millisecond, 1500*time.Millisecond)
	}
	return s.between(200*time.Microsecond, 10*time.Millisecond)
}

// send runs f after a delay unless the message is lost, and sometimes twice.
func (s *sim) send(f func()) {
	if s.rng.Float64() < s.loss {
		return
	}
	s.after(s.delay(), f)
	if s.rng.Float64() < 0.05 {
		s.after(s.delay(), f)
	}
}

// tick is the leader's timer.
func (s *sim) tick() {
	s.after(50*time.Millisecond, s.tick)
	if s.leader < 0 {
		return
	}
	if r := s.replicas[s.leader]; !r.clock.paused {
		s.propose(r.ctl.Tick(r.clock.at(s.now), r.state))
	}
}

// propose appends commands to the log after a delay. Some are lost, and some
// of those turn up much later in the same term.
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

// commit makes a command part of the log and schedules its application.
func (s *sim) commit(data []byte) {
	c, err := DecodeCommand(data)
	if err != nil {
		panic(err)
	}
	s.log = append(s.log, c)
	s.oracle.Apply(uint64(len(s.log)), c)
	s.check.table(s.now, s.oracle)
	for _, r := range s.replicas {
		s.after(s.between(0, s.lag), func() { s.catchUp(r, len(s.log)) })
	}
}

// catchUp applies the log up to an entry.
func (s *sim) catchUp(r *replica, upTo int) {
	for ; r.applied < upTo; r.applied++ {
		c := s.log[r.applied]
		res := r.state.Apply(uint64(r.applied+1), c)
		r.ctl.OnApplied(r.clock.at(s.now), r.state, c, res)
	}
}

// depose ends the leader's term. Its pending proposals are committed before
// the next term or never.
func (s *sim) depose() {
	if s.leader < 0 {
		return
	}
	s.replicas[s.leader].ctl.BecomeFollower()
	s.leader = -1
}

// elect makes a replica the leader once it has applied the whole log.
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
