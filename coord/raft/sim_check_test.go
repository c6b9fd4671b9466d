package raft

import (
	"bytes"
	"encoding/binary"
)

// observations is what the checks have observed so far, over all replicas.
type observations struct {
	leaders   map[uint64]ID    // by term
	committed map[uint64]Entry // by index, applied by at least one replica
	elected   map[ID]uint64    // term in which the leader's log was checked
}

func newObservations() observations {
	return observations{leaders: map[uint64]ID{}, committed: map[uint64]Entry{}, elected: map[ID]uint64{}}
}

// check verifies the invariants that apply after every event.
func (s *sim) check() {
	var active *Node
	highest := uint64(0)
	for _, r := range s.replicas {
		if r.node == nil {
			continue
		}
		n := r.node
		s.checkMembership(n)
		if n.role != Leader {
			continue
		}
		if other, ok := s.leaders[n.term]; ok && other != r.id {
			s.t.Fatalf("election safety: %s and %s lead term %d", other, r.id, n.term)
		}
		s.leaders[n.term] = r.id
		highest = max(highest, n.term)
		if s.elected[r.id] != n.term {
			s.elected[r.id] = n.term
			s.checkComplete(n)
		}
		if s.unboundedClocks || !s.canAct(r) || !n.Status().QuorumActive {
			continue
		}
		if active != nil {
			s.t.Fatalf("%s and %s are both QuorumActive at %d", active.cfg.ID, r.id, s.now)
		}
		active = n
	}
	// For leases it is not enough that only one leader is QuorumActive: the old one
	// must have stopped answering before a new one is elected.
	if active != nil && active.term < highest {
		s.t.Fatalf("%s is QuorumActive in term %d, a leader of term %d is elected", active.cfg.ID, active.term, highest)
	}
}

// canAct reports whether a replica can act on its state as it is now. A suspended process
// cannot. One with ticks to count does so before anything else, as the drivers do, and is
// checked after that: its event for them is due now.
func (s *sim) canAct(r *replica) bool { return r.frozenUntil <= s.now && r.nextTick > s.now }

// checkMembership verifies that the membership in force is the last one in
// the log.
func (s *sim) checkMembership(n *Node) {
	last := uint64(0)
	for _, e := range n.log.entries {
		if e.Kind == EntryMembership {
			last = e.Index
		}
	}
	if used := n.history.current().index; used != last && (last > 0 || used > n.log.baseIndex) {
		s.t.Fatalf("%s uses the membership of entry %d, its log has one at %d", n.cfg.ID, used, last)
	}
}

// checkComplete verifies that a new leader has every committed entry.
func (s *sim) checkComplete(n *Node) {
	for index, e := range s.committed {
		if index > n.log.baseIndex && !n.log.matches(index, e.Term) {
			s.t.Fatalf("leader %s of term %d lacks committed entry %d of term %d", n.cfg.ID, n.term, index, e.Term)
		}
	}
}

// apply applies an entry on a replica and verifies that every replica applies
// the same entries in the same order.
func (s *sim) apply(r *replica, e Entry) {
	if e.Index != r.applied+1 {
		s.t.Fatalf("%s applies entry %d after %d", r.id, e.Index, r.applied)
	}
	if c, ok := s.committed[e.Index]; ok && (c.Term != e.Term || !bytes.Equal(c.Data, e.Data)) {
		s.t.Fatalf("%s applies entry %d of term %d, another replica applied term %d", r.id, e.Index, e.Term, c.Term)
	}
	s.committed[e.Index] = e
	r.applied = e.Index
	if e.Kind == EntryCommand {
		r.value = binary.LittleEndian.Uint64(e.Data)
	}
	if op := r.writes[EntryID{Term: e.Term, Index: e.Index}]; op != nil {
		op.done, op.end = true, s.now
	}
}

// checkLogs verifies the log matching property over all pairs of replicas:
// where two logs agree on an entry's term, they agree on all before.
func (s *sim) checkLogs() {
	for _, a := range s.replicas {
		for _, b := range s.replicas {
			if a.node == nil || b.node == nil {
				continue
			}
			agree := false
			for i := min(a.node.log.last(), b.node.log.last()); i > max(a.node.log.baseIndex, b.node.log.baseIndex); i-- {
				x, y := a.node.log.slice(i, i)[0], b.node.log.slice(i, i)[0]
				same := x.Term == y.Term && bytes.Equal(x.Data, y.Data)
				if agree && !same {
					s.t.Fatalf("logs of %s and %s differ at %d and agree later", a.id, b.id, i)
				}
				agree = agree || x.Term == y.Term
			}
		}
	}
}

// converge ends all faults and verifies that the group accepts a write and that
// every member applies all entries that were ever committed.
func (s *sim) converge() {
	s.cuts, s.loss, s.duplication, s.maxDelay, s.extraDelay = map[[2]ID]bool{}, 0, 0, 300, 0
	for _, r := range s.replicas {
		if r.node == nil {
			s.start(r)
		}
	}
	for range 40 {
		s.run(10)
		if l := s.leader(); l != nil {
			s.write(l)
		}
	}
	l := s.leader()
	if l == nil || !l.node.Status().QuorumActive {
		s.t.Fatalf("no leader 400 ticks after the end of all faults")
	}
	for index := range s.committed {
		if index > l.applied {
			s.t.Fatalf("committed entry %d is not applied by the leader", index)
		}
	}
	s.run(30)
	for _, r := range s.replicas {
		if !l.node.membership().Contains(r.id) {
			continue
		}
		if r.applied != l.applied || r.value != l.value {
			s.t.Fatalf("%s applied %d, leader %s applied %d", r.id, r.applied, l.id, l.applied)
		}
	}
	s.checkLogs()
}
