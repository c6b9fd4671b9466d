package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/fleet"
	"bramleyquay.example/coord/raft"
)

const (
	simTick         = 25 * time.Millisecond
	simElection     = 20
	simMembership   = 4  // ticks between two checks of the membership
	simJoinInterval = 12 // ticks between two requests to join
	simProbe        = 20 // ticks between two probes of a silent replica
)

// simGroup is a control group in virtual time: each replica runs a raft.Node, asks to
// join while fleet.MustJoin says so and changes the membership while it leads.
type simGroup struct {
	rng      *rand.Rand
	tick     int
	replicas map[raft.ID]*simReplica
	started  int
	inFlight []raft.Message
	// slowBy delays the messages of slow replicas, in ticks.
	slowBy  int
	delayed map[int][]raft.Message
	// frozenMachines means that frozen replicas cannot be told from lost ones by a probe.
	frozenMachines bool
}

type simReplica struct {
	node        *raft.Node
	disk        raft.PersistentState
	manager     *fleet.MembershipManager
	frozenUntil int
	slow        bool
	stalled     bool // answers probes only
	inbox       []raft.Message
	missed      int // ticks to make up after a freeze
}

func newSimGroup(seed uint64) *simGroup {
	g := &simGroup{rng: rand.New(rand.NewPCG(seed, 7)), replicas: map[raft.ID]*simReplica{}, delayed: map[int][]raft.Message{}, slowBy: simElection + 4}
	var ids []raft.ID
	for i := range 5 {
		ids = append(ids, fleet.ReplicaID(fmt.Sprintf("r%d", i+1), "founder"))
	}
	for _, id := range ids {
		g.start(id, raft.Bootstrap(ids))
	}
	g.started = len(ids)
	return g
}

func (g *simGroup) start(id raft.ID, disk raft.PersistentState) *simReplica {
	node, err := raft.New(raft.Config{ID: id, ElectionTicks: simElection, HeartbeatTicks: 4, Rand: rand.New(rand.NewPCG(g.rng.Uint64(), 2))}, disk)
	if err != nil {
		panic(err)
	}
	g.replicas[id] = &simReplica{node: node, disk: disk}
	return g.replicas[id]
}

// startNew starts a replica with an empty disk at a new address, or at that of another.
func (g *simGroup) startNew(address string) raft.ID {
	g.started++
	if address == "" {
		address = fmt.Sprintf("r%d", g.started)
	}
	id := fleet.ReplicaID(address, fmt.Sprint("data", g.started))
	g.start(id, raft.PersistentState{})
	return id
}

// restart restarts a replica from its disk.
func (g *simGroup) restart(id raft.ID) { g.start(id, g.replicas[id].disk) }

func (g *simGroup) run(d time.Duration) {
	for range d / simTick {
		g.tick++
		g.inFlight = append(g.inFlight, g.delayed[g.tick]...)
		delete(g.delayed, g.tick)
		for _, id := range g.ids() {
			g.step(id)
		}
		g.deliver()
	}
}

func (g *simGroup) ids() []raft.ID {
	var ids []raft.ID
	for id := range g.replicas {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (g *simGroup) step(id raft.ID) {
	r := g.replicas[id]
	if r.frozenUntil > g.tick || r.stalled {
		r.missed++
		return
	}
	for ; r.missed >= 0; r.missed-- {
		r.node.Tick()
	}
	r.missed = 0
	for _, m := range r.inbox {
		_ = r.node.Step(m)
	}
	r.inbox = nil
	st := r.node.Status()
	if fleet.MustJoin(st) && g.tick%simJoinInterval == 0 {
		g.join(id)
	}
	switch {
	case st.Role != raft.Leader:
		r.manager = nil
	case r.manager == nil:
		r.manager = fleet.NewMembershipManager(fleet.DefaultMembershipConfig(2))
		fallthrough
	case st.QuorumActive:
		g.lead(r, st)
	}
	g.flush(id, r)
}

// join asks every replica in turn, as the leader client does while it knows no leader.
func (g *simGroup) join(id raft.ID) {
	for _, other := range g.ids() {
		o := g.replicas[other]
		st := o.node.Status()
		if o.frozenUntil > g.tick || o.stalled || st.Role != raft.Leader || !st.QuorumActive || st.Membership.Contains(id) {
			continue
		}
		_, _ = o.node.ProposeMembership(raft.MembershipChange{Kind: raft.AddLearner, ID: id})
		g.flush(other, o)
	}
}

func (g *simGroup) lead(r *simReplica, st raft.Status) {
	now := clock.At(time.Duration(g.tick) * simTick)
	if g.tick%simProbe == 0 {
		for _, id := range fleet.Silent(st) {
			result := fleet.Unreachable
			if o := g.replicas[id]; o != nil && o.frozenUntil > g.tick {
				if !g.frozenMachines {
					result = fleet.Connects
				}
			} else if o != nil {
				result = fleet.Answers
			}
			r.manager.RecordProbe(now, id, result)
		}
	}
	if c, ok := r.manager.NextChange(now, st); ok && g.tick%simMembership == 0 {
		_, _ = r.node.ProposeMembership(c)
	}
}

func (g *simGroup) flush(id raft.ID, r *simReplica) {
	for r.node.HasReady() {
		rd := r.node.Ready()
		if rd.Snapshot != nil {
			r.disk.Snapshot, r.disk.Entries = *rd.Snapshot, nil
		}
		for _, e := range rd.Entries {
			r.disk.Entries = append(r.disk.Entries[:e.Index-r.disk.Snapshot.Index-1:e.Index-r.disk.Snapshot.Index-1], e)
		}
		if rd.HardState != nil {
			r.disk.HardState = *rd.HardState
		}
		if r.slow {
			g.delayed[g.tick+g.slowBy] = append(g.delayed[g.tick+g.slowBy], rd.Messages...)
		} else {
			g.inFlight = append(g.inFlight, rd.Messages...)
		}
		r.node.Advance(rd)
	}
}

func (g *simGroup) deliver() {
	for _, m := range g.inFlight {
		if r := g.replicas[m.To]; r != nil {
			r.inbox = append(r.inbox, m)
		}
	}
	g.inFlight = nil
}

// leader returns the status of the leader, or a zero status.
func (g *simGroup) leader() raft.Status {
	for _, id := range g.ids() {
		if st := g.replicas[id].node.Status(); st.Role == raft.Leader && st.QuorumActive {
			return st
		}
	}
	return raft.Status{}
}

// complete reports whether the voters are five replicas that run and answer.
func (g *simGroup) complete() bool {
	st := g.leader()
	for _, id := range st.Membership.Voters {
		if g.replicas[id] == nil || id != st.ID && !st.Progress[id].Active {
			return false
		}
	}
	return len(st.Membership.Voters) == 5
}
