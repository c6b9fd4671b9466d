package raft

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/anishathalye/porcupine"
)

// operation is a client's read or write of the register that the log replicates.
type operation struct {
	write      bool
	value      uint64
	start, end int64
	done       bool
}

type clients struct {
	history  []*operation
	lastRead uint64
}

func (s *sim) record(op operation) *operation {
	op.start = s.now
	s.history = append(s.history, &op)
	return &op
}

// write proposes a new value to a replica that believes it leads.
func (s *sim) write(r *replica) {
	if r.node == nil || r.frozenUntil > s.now {
		return
	}
	value := uint64(len(s.history)) + 1
	id, err := r.node.Propose(binary.LittleEndian.AppendUint64(nil, value))
	if err != nil {
		return
	}
	r.writes[id] = s.record(operation{write: true, value: value})
	s.handleReady(r)
}

// read asks for a read index.
func (s *sim) read(r *replica) {
	if r.node == nil || r.frozenUntil > s.now {
		return
	}
	s.lastRead++
	if r.node.ReadIndex(s.lastRead) == nil {
		r.reads[s.lastRead] = s.record(operation{})
		s.handleReady(r)
	}
}

// leaseRead reads without any message, as the control leader does when it answers a
// renewal. The ticks missed in a suspension are counted first.
func (s *sim) leaseRead(r *replica) {
	if r.node == nil || r.frozenUntil > s.now {
		return
	}
	s.catchUp(r)
	if st := r.node.Status(); st.QuorumActive && st.TermApplied {
		op := s.record(operation{value: r.value})
		op.done, op.end = true, s.now
	}
}

func (s *sim) answerReads(r *replica, reads []ReadState) {
	for _, rd := range reads {
		if rd.LeadershipLost {
			continue
		}
		if rd.Index > r.applied {
			s.t.Fatalf("%s answers a read at %d with %d applied", r.id, rd.Index, r.applied)
		}
		if op := r.reads[rd.ID]; op != nil {
			op.value, op.done, op.end = r.value, true, s.now
		}
	}
}

// checkLinearizable verifies all operations against a register. A write
// without an answer may take effect at any later time, or never.
func (s *sim) checkLinearizable() {
	model := porcupine.Model{
		Init: func() any { return uint64(0) },
		Step: func(state, in, out any) (bool, any) {
			if op := in.(*operation); op.write {
				return true, op.value
			}
			return out.(uint64) == state.(uint64), state
		},
	}
	var ops []porcupine.Operation
	for i, op := range s.history {
		end := op.end
		if !op.done {
			if !op.write {
				continue
			}
			end = math.MaxInt64
		}
		ops = append(ops, porcupine.Operation{ClientId: i, Input: op, Output: op.value, Call: op.start, Return: end})
	}
	// The result Unknown means that the checker ran out of time; it is no failure.
	if porcupine.CheckOperationsTimeout(model, ops, 10*time.Second) == porcupine.Illegal {
		s.t.Fatalf("history of %d operations is not linearizable", len(ops))
	}
}
