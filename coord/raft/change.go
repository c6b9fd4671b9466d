package raft

import "fmt"

// ChangeKind tells what a MembershipChange does.
type ChangeKind uint8

const (
	// AddLearner adds a replica that receives the log without a vote.
	AddLearner ChangeKind = iota + 1
	// Promote gives a learner that has caught up a vote.
	Promote
	// Remove removes a voter or learner.
	Remove
)

var changeKindNames = [...]string{"invalid change of", "addition of learner", "promotion of", "removal of"}

// String implements fmt.Stringer.
func (k ChangeKind) String() string {
	if int(k) < len(changeKindNames) {
		return changeKindNames[k]
	}
	return fmt.Sprintf("change %d of", uint8(k))
}

// MembershipChange changes the membership by one replica.
type MembershipChange struct {
	Kind ChangeKind
	ID   ID
}

// ProposeMembership appends a changed membership to the leader's log. It is
// in force on each replica as soon as it is in that replica's log. The error
// is a *MembershipError with one of the reasons in this package.
func (n *Node) ProposeMembership(c MembershipChange) (EntryID, error) {
	if err := n.canPropose(); err != nil {
		return EntryID{}, err
	}
	if reason := n.changeRefused(c); reason != nil {
		return EntryID{}, &MembershipError{Change: c, Reason: reason}
	}
	next := n.membership().with(c)
	pos := n.appendOwn(EntryMembership, next.encode())
	n.history = append(n.history, membershipAt{index: pos.Index, membership: next})
	n.syncPeers(pos.Index)
	n.maybeCommit()
	return pos, nil
}

// changeRefused returns the reason to refuse c, or nil. Two memberships that
// differ by one voter share a member of every majority; that holds only if
// the previous change is committed and an entry of this term is too, because
// an earlier leader may have left another uncommitted change.
func (n *Node) changeRefused(c MembershipChange) error {
	m := n.membership()
	switch {
	case c.ID == "":
		return ErrInvalidChange
	case n.history.current().index > n.log.commit, n.log.commit < n.lead.first:
		return ErrChangeInProgress
	}
	switch c.Kind {
	case AddLearner:
		if m.Contains(c.ID) {
			return ErrAlreadyInGroup
		}
	case Promote:
		if m.IsVoter(c.ID) {
			return ErrAlreadyInGroup
		}
		if !m.IsLearner(c.ID) {
			return ErrUnknownReplica
		}
		if p := n.lead.peers[c.ID]; p.match < n.log.commit || !n.active(p) {
			return ErrNotCaughtUp
		}
	case Remove:
		if !m.Contains(c.ID) {
			return ErrUnknownReplica
		}
		if c.ID == n.cfg.ID {
			return ErrRemovesLeader
		}
		if m.IsVoter(c.ID) && n.activeVoters(c.ID) < m.with(c).Quorum() {
			return ErrLosesQuorum
		}
	default:
		return ErrInvalidChange
	}
	return nil
}

// activeVoters counts this replica and the voters that answer, except one.
func (n *Node) activeVoters(except ID) int {
	count := 1
	for _, id := range n.membership().Voters {
		if p := n.lead.peers[id]; p != nil && id != except && n.active(p) {
			count++
		}
	}
	return count
}
