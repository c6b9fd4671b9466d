package quota

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// simulation runs allocators of successive leaders and the holders of some processes in
// virtual time, over links that lose, delay, repeat and reorder messages.
type simulation struct {
	rng       *rand.Rand
	cfg       Config
	now       time.Duration // true time
	leader    *Allocator    // nil between two leaders
	leaderAt  drift
	term      uint64
	nextStart time.Duration
	registry  map[string]Registration
	index     uint64
	proposals []proposal
	limits    map[string]Limit
	spent     map[string]*spending
	processes []*process
	messages  []message
	sabotage  bool
	violation string
	reliable  bool // messages are neither lost nor late
}

// drift is a clock with an offset that runs up to 2% slow.
type drift struct {
	offset time.Duration
	rate   float64
}

func (d drift) at(now time.Duration) time.Duration {
	return d.offset + time.Duration(float64(now)*d.rate)
}

type process struct {
	address     string
	holder      *Holder // nil while the process is down
	clock       drift
	frozenUntil time.Duration
	cutUntil    time.Duration
	upAt        time.Duration
	endsAt      time.Duration // of a process that has left, zero otherwise
	nextRenewal time.Duration
	inFlight    time.Duration // end of the wait for the reply to the last renewal
	sent        time.Duration // of the last renewal, on the process's clock
	traffic     map[string]float64
	waiting     map[string]time.Duration // true time of the start, of one request for each limit
	admitted    int
	refused     int
	refunds     []string
}

type message struct {
	at     time.Duration
	to     *process // nil for the leader
	from   *process
	sent   time.Duration
	report Report
	reply  Reply
	limits map[string]Limit
}

type proposal struct {
	at     time.Duration
	add    []Process
	remove []Registration
}

// spending checks the guarantee over every window: it is a token bucket that is counted
// from empty. limits are those in force, with the time of their start.
type spending struct {
	used   float64
	at     time.Duration
	limits []timedLimit
}

type timedLimit struct {
	Limit
	until time.Duration // end of the validity of allotments of this limit; zero while current
}

// bound returns the largest rate and burst that allotments may be in force of.
func (s *spending) bound(now time.Duration) Limit {
	var l Limit
	for _, t := range s.limits {
		if t.until == 0 || now <= t.until {
			l.Rate, l.Burst = max(l.Rate, t.Rate), max(l.Burst, t.effective().Burst)
		}
	}
	return l
}

func (s *spending) spend(now time.Duration, n float64) bool {
	l := s.bound(now)
	s.used = max(s.used-l.Rate*(now-s.at).Seconds(), 0)
	s.at = now
	s.used = max(s.used+n, 0)
	return s.used <= l.Burst+0.01
}

const stepTime = 20 * time.Millisecond

func newSimulation(seed uint64, processes int, sabotage bool) *simulation {
	sim := &simulation{
		rng: rand.New(rand.NewPCG(seed, 1)), cfg: DefaultConfig(), registry: map[string]Registration{}, limits: map[string]Limit{},
		spent: map[string]*spending{}, sabotage: sabotage,
	}
	for i := range processes {
		p := &process{address: fmt.Sprint("p", i), clock: sim.drift(), traffic: map[string]float64{}, waiting: map[string]time.Duration{}}
		sim.processes = append(sim.processes, p)
	}
	return sim
}

func (sim *simulation) drift() drift {
	return drift{offset: time.Duration(sim.rng.IntN(1000)) * time.Second, rate: 1 - float64(sim.rng.IntN(21))/1000}
}

func (sim *simulation) chance(perSecond float64) bool {
	return sim.rng.Float64() < perSecond*stepTime.Seconds()
}

func (sim *simulation) duration(high time.Duration) time.Duration {
	return time.Duration(sim.rng.Int64N(int64(high) + 1))
}

func (sim *simulation) setLimit(name string, l Limit) {
	s := sim.spent[name]
	if s == nil {
		s = &spending{}
		sim.spent[name] = s
	}
	for i := range s.limits {
		if s.limits[i].until == 0 {
			s.limits[i].until = sim.now + sim.cfg.lost()*103/100
		}
	}
	s.limits = append(s.limits, timedLimit{Limit: l})
	next := map[string]Limit{name: l}
	for other, limit := range sim.limits {
		if other != name {
			next[other] = limit
		}
	}
	sim.limits = next
	if sim.leader != nil {
		sim.leader.SetLimits(sim.leaderAt.at(sim.now), next)
	}
}

// elect starts a leader. Proposals of the last one are applied before, or are lost.
func (sim *simulation) elect() {
	for _, p := range sim.proposals {
		if sim.rng.IntN(2) == 0 {
			sim.apply(p)
		}
	}
	sim.proposals = nil
	sim.term++
	sim.leaderAt = sim.drift()
	sim.leader = NewAllocator(sim.cfg)
	sim.leader.countSentOnly = sim.sabotage
	now := sim.leaderAt.at(sim.now)
	sim.leader.Start(now, sim.term, sim.registered())
	sim.leader.SetLimits(now, sim.limits)
}

func (sim *simulation) registered() (list []Registration) {
	for _, p := range sim.processes {
		if r, ok := sim.registry[p.address]; ok {
			list = append(list, r)
		}
	}
	return list
}

func (sim *simulation) apply(p proposal) {
	sim.index++
	for _, r := range p.remove {
		if sim.registry[r.Address] == r {
			delete(sim.registry, r.Address)
		}
	}
	for _, r := range p.add {
		if sim.registry[r.Address].Incarnation != r.Incarnation {
			sim.registry[r.Address] = Registration{Process: r, Index: sim.index}
		}
	}
}

// step advances the time by stepTime.
func (sim *simulation) step() {
	sim.now += stepTime
	if sim.leader == nil && sim.now >= sim.nextStart {
		sim.elect()
	}
	sim.replicate()
	sim.deliver()
	for _, p := range sim.processes {
		sim.runProcess(p)
	}
}

func (sim *simulation) replicate() {
	if sim.leader == nil {
		return
	}
	for len(sim.proposals) > 0 && sim.proposals[0].at <= sim.now {
		sim.apply(sim.proposals[0])
		sim.proposals = sim.proposals[1:]
		sim.leader.SetRegistered(sim.registered())
	}
	now := sim.leaderAt.at(sim.now)
	if len(sim.proposals) < 4 && sim.rng.IntN(3) == 0 {
		p := proposal{at: sim.now + sim.duration(60*time.Millisecond), add: sim.leader.Unregistered(), remove: sim.leader.Silent(now)}
		if len(p.add)+len(p.remove) > 0 {
			sim.proposals = append(sim.proposals, p)
		}
	}
}

// send puts a message on a link.
func (sim *simulation) send(m message) {
	m.at = sim.now + sim.duration(20*time.Millisecond)
	if sim.reliable {
		sim.messages = append(sim.messages, m)
		return
	}
	if sim.rng.IntN(20) == 0 {
		return
	}
	if sim.rng.IntN(10) == 0 {
		m.at += sim.duration(3 * time.Second)
	}
	sim.messages = append(sim.messages, m)
	if sim.rng.IntN(20) == 0 {
		m.at += sim.duration(5 * time.Second)
		sim.messages = append(sim.messages, m)
	}
}

func (sim *simulation) deliver() {
	due := sim.messages
	sim.messages = nil
	for _, m := range due {
		switch {
		case m.at > sim.now || m.to != nil && m.to.frozenUntil > sim.now:
			sim.messages = append(sim.messages, m)
		case m.to == nil:
			sim.answer(m)
		case m.to.holder != nil && m.reply.Seq > 0:
			now := m.to.clock.at(sim.now)
			if m.reply.Seq == m.to.holder.seq {
				m.to.inFlight = 0
				m.to.holder.SetLimits(now, m.limits) // views do not go back
			}
			if m.to.holder.Apply(now, m.sent, m.reply) {
				m.to.nextRenewal = sim.now
			}
		}
	}
}

func (sim *simulation) answer(m message) {
	if sim.leader == nil {
		return
	}
	reply := sim.leader.Renew(sim.leaderAt.at(sim.now), m.from.address, m.report)
	if reply == nil {
		return
	}
	// Messages are copied, as on a real link: nothing is shared.
	copied := *reply
	copied.Grants = append([]Grant(nil), reply.Grants...)
	sim.send(message{to: m.from, sent: m.sent, reply: copied, limits: sim.limits})
}
