package raft

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

// Membership lists the replicas of the group. Learners receive the log and have no
// vote. Both lists are sorted by ID.
type Membership struct {
	Voters   []ID `json:"v" cbor:"1,keyasint"`
	Learners []ID `json:"l,omitempty" cbor:"2,keyasint,omitempty"`
}

// DecodeMembership decodes the data of an EntryMembership.
func DecodeMembership(data []byte) (Membership, error) {
	var m Membership
	if err := json.Unmarshal(data, &m); err != nil {
		return Membership{}, fmt.Errorf("membership: %w", err)
	}
	return m, m.check()
}

// Quorum returns the number of voters that form a majority.
func (m Membership) Quorum() int { return len(m.Voters)/2 + 1 }

// IsVoter reports whether id has a vote.
func (m Membership) IsVoter(id ID) bool { return slices.Contains(m.Voters, id) }

// IsLearner reports whether id receives the log without a vote.
func (m Membership) IsLearner(id ID) bool { return slices.Contains(m.Learners, id) }

// Contains reports whether id is a voter or a learner.
func (m Membership) Contains(id ID) bool { return m.IsVoter(id) || m.IsLearner(id) }

func (m Membership) clone() Membership {
	return Membership{Voters: slices.Clone(m.Voters), Learners: slices.Clone(m.Learners)}
}

// with returns the membership after c, which checkChange has accepted.
func (m Membership) with(c MembershipChange) Membership {
	isID := func(id ID) bool { return id == c.ID }
	next := m.clone()
	switch c.Kind {
	case AddLearner:
		next.Learners = sortedIDs(append(next.Learners, c.ID))
	case Promote:
		next.Learners = slices.DeleteFunc(next.Learners, isID)
		next.Voters = sortedIDs(append(next.Voters, c.ID))
	case Remove:
		next.Learners = slices.DeleteFunc(next.Learners, isID)
		next.Voters = slices.DeleteFunc(next.Voters, isID)
	}
	return next
}

func (m Membership) encode() []byte {
	data, err := json.Marshal(m)
	if err != nil {
		panic(err) // lists of strings always encode
	}
	return data
}

// check returns an error if there are no voters, or if an id is empty or listed
// twice.
func (m Membership) check() error {
	if len(m.Voters) == 0 {
		return errors.New("membership has no voters")
	}
	all := append(slices.Clone(m.Voters), m.Learners...)
	slices.Sort(all)
	if all[0] == "" {
		return errors.New("membership has an empty id")
	}
	for i := 1; i < len(all); i++ {
		if all[i] == all[i-1] {
			return fmt.Errorf("membership names %q twice", all[i])
		}
	}
	return nil
}

func sortedIDs(ids []ID) []ID {
	ids = slices.Clone(ids)
	slices.Sort(ids)
	return slices.Compact(ids)
}
