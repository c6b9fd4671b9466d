package raft

import "fmt"

// HardState is the part of a replica's state that must be synced before any
// message that depends on it is sent.
type HardState struct {
	Term uint64 `json:"t" cbor:"1,keyasint"`
	Vote ID     `json:"v,omitempty" cbor:"2,keyasint,omitempty"`
	// Commit may be lower than the last commit index: safety does not depend on
	// it. It allows a restarted replica to apply entries before a leader sends the
	// commit index.
	Commit uint64 `json:"c" cbor:"3,keyasint"`
}

// Snapshot is the applied state up to and including Index.
type Snapshot struct {
	Index      uint64     `json:"i" cbor:"1,keyasint"`
	Term       uint64     `json:"t" cbor:"2,keyasint"`
	Membership Membership `json:"m" cbor:"3,keyasint"`
	// Data is the state machine's encoding. It is empty in the snapshot made
	// by Bootstrap, which stands for the initial state.
	Data []byte `json:"d,omitempty" cbor:"4,keyasint,omitempty"`
}

// PersistentState is the state that a replica reads from its disk when it starts.
// The zero value is the state of a replica that waits to be added as a learner.
type PersistentState struct {
	HardState HardState
	Snapshot  Snapshot
	// Entries follow Snapshot.Index without gaps.
	Entries []Entry
}

// Bootstrap returns the state with which every initial voter starts a new
// group. All of them must pass the same voters and persist the result before
// they start.
func Bootstrap(voters []ID) PersistentState {
	return PersistentState{
		HardState: HardState{Term: 1, Commit: 1},
		Snapshot:  Snapshot{Index: 1, Term: 1, Membership: Membership{Voters: sortedIDs(voters)}},
	}
}

// check returns an *InvalidStateError if s is inconsistent.
func (s PersistentState) check() error {
	index, term := s.Snapshot.Index, s.Snapshot.Term
	if index > 0 || len(s.Snapshot.Membership.Voters) > 0 {
		if err := s.Snapshot.check(); err != nil {
			return &InvalidStateError{Reason: err.Error()}
		}
	}
	if err := checkEntries(s.Entries, index, term, max(s.HardState.Term, term)); err != nil {
		return &InvalidStateError{Reason: err.Error()}
	}
	if last := index + uint64(len(s.Entries)); s.HardState.Commit > last {
		return &InvalidStateError{Reason: fmt.Sprintf("commit index %d is after the last entry %d", s.HardState.Commit, last)}
	}
	return nil
}

// check returns an error if s is inconsistent.
func (s Snapshot) check() error {
	if s.Index == 0 || s.Term == 0 {
		return fmt.Errorf("snapshot at index %d, term %d", s.Index, s.Term)
	}
	return s.Membership.check()
}

// checkEntries verifies that entries follow (index, term) without gaps, that
// terms do not decrease or exceed limit, and that memberships can be decoded.
func checkEntries(entries []Entry, index, term, limit uint64) error {
	for i := range entries {
		e := &entries[i]
		index++
		switch {
		case e.Index != index:
			return fmt.Errorf("entry has index %d instead of %d", e.Index, index)
		case e.Term == 0 || e.Term < term || e.Term > limit:
			return fmt.Errorf("entry %d has term %d, outside %d to %d", index, e.Term, term, limit)
		case e.Kind > EntryMembership:
			return fmt.Errorf("entry %d has unknown kind %d", index, e.Kind)
		}
		term = e.Term
		if e.Kind == EntryMembership {
			if _, err := DecodeMembership(e.Data); err != nil {
				return fmt.Errorf("entry %d: %w", index, err)
			}
		}
	}
	return nil
}
