package idempotency_test

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/idempotency"
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

// sim simulates members, a control group, a target and callers in virtual time.
// Leases are not checked before dispatch: the records alone have to prevent a
// second run.
type sim struct {
	rng     *rand.Rand
	now     time.Duration
	events  eventHeap
	seq     int
	nodes   []*node
	control *simControl
	// cutUntil is the time until which the link from one member index to another
	// loses all messages.
	cutUntil map[[2]int]time.Duration
	history  history
	faults   bool
	nextID   uint64
	nextInc  uint64
}

const (
	// simTick is the interval of Owner.Tick and CopyStore.Tick.
	simTick = 20 * time.Millisecond
	// simKeys is small so that many requests have the same key.
	simKeys = 4
)

func newSim(seed uint64, nodes int, faults bool) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 1)), faults: faults, cutUntil: map[[2]int]time.Duration{}}
	centres := []string{"x", "y", "z"}
	for i := range nodes {
		n := &node{sim: s, index: i, id: table.MemberID(rune('a' + i)), dataCentre: centres[i%3]}
		s.nodes = append(s.nodes, n)
		n.restart()
	}
	s.control = newSimControl(s)
	for _, n := range s.nodes {
		n.every(simTick, n.tick)
		n.every(250*time.Millisecond, n.renew)
	}
	return s
}

func (s *sim) clock() clock.Reading { return clock.At(time.Hour + s.now) }

func (s *sim) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.events, event{s.now + d, s.seq, f})
}

func (s *sim) run(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= until {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.f()
	}
	s.now = until
}

func (s *sim) chance(p float64) bool { return s.rng.Float64() < p }

func (s *sim) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rng.Int64N(int64(high-low)))
}

// controlIndex stands for control as an end of a link.
const controlIndex = -1

// send delivers a message over a link that may lose, delay and duplicate it.
func (s *sim) send(from, to int, deliver func()) {
	copies := 1
	if s.faults && s.chance(0.05) {
		copies = 2
	}
	for range copies {
		if s.cutUntil[[2]int{from, to}] > s.now || (s.faults && s.chance(0.05)) {
			continue
		}
		delay := s.between(200*time.Microsecond, 3*time.Millisecond)
		if s.faults && s.chance(0.04) {
			delay = s.between(0, 4*time.Second)
		}
		s.after(delay, func() {
			if to == controlIndex {
				deliver()
				return
			}
			s.nodes[to].do(deliver)
		})
	}
}

// pay sends a payment to the unit's owner according to the table of member via.
// With other set, its body differs from the key's usual one. wait is the time until
// its deadline.
func (s *sim) pay(key int, other bool, via int, wait time.Duration) {
	unit := key % len(s.control.entries)
	owner := s.nodes[via].view[unit].owner
	s.nextID++
	req := idempotency.Request{
		ID: s.nextID, Unit: simUnit(unit), Key: string(rune('k'+key)) + "ey",
		Digest: [32]byte{byte(key)}, Deadline: s.clock().Add(wait),
	}
	if other {
		req.Digest[1] = 1
	}
	s.history.issued(req)
	if owner >= 0 {
		s.send(via, owner, func() { s.nodes[owner].begin(req) })
	}
}

func simUnit(i int) shard.Unit { return shard.Unit{Keyspace: "billing", Shard: uint32(i)} }

type event struct {
	at  time.Duration
	seq int
	f   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].seq < h[j].seq)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	e := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return e
}
