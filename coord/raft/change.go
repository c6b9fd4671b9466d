package raft

import "fmt"

// ChangeKind is the kind of a MembershipChange.
type ChangeKind uint8

const (
	// AddLearner adds a replica that receives the log without a vote.
	AddLearner ChangeKind = iota + 1
	// Promote makes a learner that has caught up a voter.
	Promote
	// Remove removes a voter or learner.
	Remove
)

var changeKindNames = [...]string{"invalid change of", "addition of learner", "promotion of", "removal of"}

// String returns the kind as a phrase that precedes an ID in messages, such as
// "removal of".
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

// ProposeMembership appends the changed membership to the leader's log. Each
// replica uses it as soon as the entry is in its log. The error is a
// *MembershipError with one of the reasons in this package, a *NotLeaderError or
// ErrTransferring.
func (n *Node) ProposeMembership(c MembershipChange) (EntryID, error) {
	if err := n.canPropose(); err != nil {
		return EntryID{}, err
	}
	if reason := n.checkChange(c); reason != nil {
		return EntryID{}, &MembershipError{Change: c, Reason: reason}
	}
	next := n.membership().with(c)
	pos := n.appendEntry(EntryMembership, next.encode())
	n.history = append(n.history, membershipAt{index: pos.Index, membership: next})
	n.updateProgress(pos.Index)
	n.maybeCommit()
	return pos, nil
}

// checkChange returns the reason to refuse c, or nil. If two memberships differ by
// one voter, every majority of the one shares a voter with every majority of the
// other. So that they differ by only one voter, the previous change must be
// committed, and also an entry of this term, because an earlier leader may have
// left another uncommitted change.
func (n *Node) checkChange(c MembershipChange) error {
	m := n.membership()
	switch {
	case c.ID == "":
		return ErrInvalidChange
	case n.history.current().index > n.log.commit, n.log.commit < n.lead.termStart:
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
		if p := n.lead.progress[c.ID]; p.match < n.log.commit || !n.active(p) {
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

// activeVoters returns the number of voters that answer, including this replica
// and without the replica except.
func (n *Node) activeVoters(except ID) int {
	count := 1
	for _, id := range n.membership().Voters {
		if p := n.lead.progress[id]; p != nil && id != except && n.active(p) {
			count++
		}
	}
	return count
}
