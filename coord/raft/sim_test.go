package raft

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
)

// tickTime is the nominal length of a tick in virtual time units.
const tickTime = 1000

// testReporter is the part of testing.TB and rapid.T that the simulation uses.
type testReporter interface {
	Helper()
	Fatalf(format string, args ...any)
}

type event struct {
	at  int64
	run func()
}

// replica is a simulated replica with its disk. node is nil while its process is
// stopped.
type replica struct {
	id           ID
	node         *Node
	disk         PersistentState // synced state
	diskAtStart  PersistentState // disk at the last start
	pendingReady *Ready          // the Ready being processed, or nil
	incarnation  int             // counts starts and crashes; events of an earlier incarnation are dropped
	period       int64           // virtual time units between ticks
	nextTick     int64
	frozenUntil  int64 // end of a suspension
	value        uint64
	applied      uint64
	writes       map[EntryID]*operation
	reads        map[uint64]*operation
}

// sim runs replicas in virtual time over links that may lose, duplicate, delay and
// reorder messages.
type sim struct {
	t               testReporter
	rng             *rand.Rand
	cfg             Config
	now             int64
	events          []event // in order of time
	replicas        []*replica
	cuts            map[[2]ID]bool
	loss            float64
	duplication     float64
	maxDelay        int64 // longest delay of a message, in virtual time units
	extraDelay      int64 // longest additional delay to the first replica, in virtual time units
	slowSyncPercent int   // percentage of syncs that take time
	maxDrift        int64 // largest deviation of a tick period, in thousandths of a tick
	unboundedClocks bool  // clock drift is outside the bound, so QuorumActive is not checked
	skipHardState   bool  // fault: term and vote are not persisted
	skipSync        bool  // fault: all writes since the start are lost at a crash
	observations
	clients
}

func newSim(t testReporter, seed uint64, voters int) *sim {
	s := &sim{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), cuts: map[[2]ID]bool{}, maxDelay: 300, slowSyncPercent: 25, maxDrift: 30,
		cfg:          Config{ElectionTicks: 10, HeartbeatTicks: 2, MaxInflight: 4, MaxBatchBytes: 64},
		observations: newObservations(),
	}
	ids := make([]ID, voters)
	for i := range ids {
		ids[i] = ID(fmt.Sprintf("n%d", i+1))
	}
	for _, id := range ids {
		s.start(s.add(id, Bootstrap(ids)))
	}
	return s
}

func (s *sim) add(id ID, disk PersistentState) *replica {
	r := &replica{id: id, disk: disk, period: tickTime}
	if s.maxDrift > 0 {
		r.period += s.rng.Int64N(2*s.maxDrift+1) - s.maxDrift
	}
	s.replicas = append(s.replicas, r)
	return r
}

func (s *sim) scheduleAt(at int64, run func()) {
	i, _ := slices.BinarySearchFunc(s.events, at, func(e event, at int64) int { return cmp.Compare(e.at, at+1) })
	s.events = slices.Insert(s.events, i, event{at: at, run: run})
}

// scheduleOn runs f on a replica at a time, unless the replica has crashed or was
// restarted by then. If it is frozen, f runs at the end of the suspension, after
// the ticks that it missed.
func (s *sim) scheduleOn(r *replica, at int64, f func()) {
	incarnation := r.incarnation
	s.scheduleAt(at, func() {
		switch {
		case r.incarnation != incarnation || r.node == nil:
		case r.frozenUntil > s.now:
			s.scheduleOn(r, r.frozenUntil, f)
		default:
			s.catchUp(r)
			f()
			s.handleReady(r)
		}
	})
}

// catchUp calls Tick for every tick interval that has passed.
func (s *sim) catchUp(r *replica) {
	for ; r.nextTick <= s.now; r.nextTick += r.period {
		r.node.Tick()
	}
}

func (s *sim) start(r *replica) {
	cfg := s.cfg
	cfg.ID, cfg.Rand = r.id, rand.New(rand.NewPCG(s.rng.Uint64(), 2))
	disk := r.disk
	disk.Entries = slices.Clone(disk.Entries)
	node, err := New(cfg, disk)
	if err != nil {
		s.t.Fatalf("%s does not start: %v", r.id, err)
	}
	r.node, r.incarnation, r.frozenUntil, r.pendingReady, r.diskAtStart = node, r.incarnation+1, 0, nil, r.disk
	r.writes, r.reads = map[EntryID]*operation{}, map[uint64]*operation{}
	r.applied, r.value = disk.Snapshot.Index, decodeValue(disk.Snapshot.Data)
	r.nextTick = s.now + 1 + s.rng.Int64N(r.period)
	s.scheduleTick(r)
}

func (s *sim) scheduleTick(r *replica) {
	s.scheduleOn(r, r.nextTick, func() { s.scheduleTick(r) })
}

// crash stops a replica. Of the Ready in progress, nothing, only the snapshot or all
// is persisted.
func (s *sim) crash(r *replica) {
	if r.node == nil {
		return
	}
	if rd := r.pendingReady; rd != nil {
		switch s.rng.IntN(3) {
		case 1:
			s.persist(r, Ready{Snapshot: rd.Snapshot})
		case 2:
			s.persist(r, *rd)
		}
	}
	if s.skipSync {
		r.disk = r.diskAtStart
	}
	r.node, r.pendingReady = nil, nil
	r.incarnation++
}

// handleReady processes one Ready, at once or after the delay of a slow disk.
func (s *sim) handleReady(r *replica) {
	if r.node == nil || !r.node.HasReady() {
		return
	}
	rd := r.node.Ready()
	r.pendingReady = &rd
	if s.rng.IntN(100) >= s.slowSyncPercent {
		s.finish(r, rd)
		return
	}
	s.scheduleOn(r, s.now+s.rng.Int64N(2*tickTime), func() { s.finish(r, rd) })
}

func (s *sim) finish(r *replica, rd Ready) {
	s.persist(r, rd)
	for _, m := range rd.Messages {
		s.transmit(m)
	}
	if rd.Snapshot != nil {
		r.applied, r.value = rd.Snapshot.Index, decodeValue(rd.Snapshot.Data)
	}
	for _, e := range rd.Committed {
		s.apply(r, e)
	}
	s.answerReads(r, rd.Reads)
	r.pendingReady = nil
	r.node.Advance(rd)
	s.handleReady(r)
}

func (s *sim) persist(r *replica, rd Ready) {
	if rd.Snapshot != nil {
		r.disk.Snapshot, r.disk.Entries = *rd.Snapshot, nil
	}
	if rd.HardState != nil {
		r.disk.HardState = *rd.HardState
		if s.skipHardState {
			r.disk.HardState = HardState{Term: r.disk.Snapshot.Term}
		}
	}
	if len(rd.Entries) > 0 {
		retained := rd.Entries[0].Index - r.disk.Snapshot.Index - 1
		r.disk.Entries = append(slices.Clone(r.disk.Entries[:retained]), rd.Entries...)
	}
	if s.skipHardState && len(r.disk.Entries) > 0 {
		r.disk.HardState.Term = r.disk.Entries[len(r.disk.Entries)-1].Term // otherwise the replica would not start
	}
	r.disk.HardState.Commit = min(r.disk.HardState.Commit, r.disk.Snapshot.Index+uint64(len(r.disk.Entries)))
}

func (s *sim) compact(r *replica) {
	if r.node == nil || r.node.Compact(r.node.log.applied, binary.LittleEndian.AppendUint64(nil, r.value)) != nil {
		return
	}
	snapshot := r.node.Snapshot()
	r.disk.Entries = slices.Clone(r.disk.Entries[snapshot.Index-r.disk.Snapshot.Index:])
	r.disk.Snapshot = snapshot
}

func (s *sim) transmit(m Message) {
	copies := 1
	if s.rng.Float64() < s.duplication {
		copies = 2
	}
	for range copies {
		if s.cuts[[2]ID{m.From, m.To}] || s.rng.Float64() < s.loss {
			continue
		}
		to := s.find(m.To)
		if to == nil {
			continue
		}
		at := s.now + 1 + s.rng.Int64N(s.maxDelay)
		if to == s.replicas[0] {
			at += s.rng.Int64N(s.extraDelay + 1)
		}
		s.scheduleOn(to, at, func() {
			if err := to.node.Step(m); err != nil {
				s.t.Fatalf("%s at %d: %v", to.id, s.now, err)
			}
		})
	}
}

func (s *sim) find(id ID) *replica {
	for _, r := range s.replicas {
		if r.id == id {
			return r
		}
	}
	return nil
}

// run executes all events of the next ticks and checks after each one.
func (s *sim) run(ticks int) {
	end := s.now + int64(ticks)*tickTime
	for len(s.events) > 0 && s.events[0].at <= end {
		e := s.events[0]
		s.events = s.events[1:]
		s.now = e.at
		e.run()
		s.check()
	}
	s.now = end
}

// leader returns the running leader of the highest term, if any.
func (s *sim) leader() *replica {
	var best *replica
	for _, r := range s.replicas {
		if r.node != nil && r.node.role == Leader && (best == nil || r.node.term > best.node.term) {
			best = r
		}
	}
	return best
}

// isolate cuts or restores all links of a replica.
func (s *sim) isolate(r *replica, cut bool) {
	for _, other := range s.replicas {
		s.cuts[[2]ID{r.id, other.id}], s.cuts[[2]ID{other.id, r.id}] = cut, cut
	}
}

func decodeValue(data []byte) uint64 {
	if len(data) != 8 {
		return 0
	}
	return binary.LittleEndian.Uint64(data)
}
