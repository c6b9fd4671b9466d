package raft

import (
	"errors"
	"fmt"
)

var (
	// ErrTransferring refuses a proposal during a leadership transfer. The
	// proposal was not appended and may be retried.
	ErrTransferring = errors.New("raft: leadership is being transferred")
	// ErrTooManyUncommitted refuses a proposal while the entries that are not committed
	// yet have too much data. The proposal was not appended and may be retried.
	ErrTooManyUncommitted = errors.New("raft: too many changes are waiting to be committed")
	// ErrInvalidTransferee refuses a leadership transfer to a replica that is not
	// a voter, is this replica, or has not answered a heartbeat round that was sent
	// within the last ElectionTicks.
	ErrInvalidTransferee = errors.New("raft: transfer target is not another voter that answers")
	// ErrCompacted refuses a compaction at or before the latest snapshot.
	ErrCompacted = errors.New("raft: index is already covered by a snapshot")
	// ErrNotApplied refuses a compaction after the last applied entry.
	ErrNotApplied = errors.New("raft: index is not applied")
)

// Reasons of a MembershipError.
var (
	// ErrChangeInProgress means that an earlier change is not committed yet,
	// or that the leader has not committed an entry of its term. Retry later.
	ErrChangeInProgress = errors.New("an earlier change is in progress")
	// ErrNotCaughtUp means that the learner lacks committed entries or has not
	// answered a heartbeat round that was sent within the last ElectionTicks.
	// Retry later.
	ErrNotCaughtUp = errors.New("the learner has not caught up")
	// ErrLosesQuorum means that the voters that would remain and that answer are
	// fewer than a majority.
	ErrLosesQuorum = errors.New("the remaining voters that answer are no majority")
	// ErrRemovesLeader means that leadership must be transferred first.
	ErrRemovesLeader = errors.New("the leader cannot remove itself; transfer leadership first")
	// ErrUnknownReplica means that the replica to promote is not a learner, or that
	// the replica to remove is neither a voter nor a learner.
	ErrUnknownReplica = errors.New("the replica is not a member of the required kind")
	// ErrAlreadyInGroup means that the replica is a voter or learner already.
	ErrAlreadyInGroup = errors.New("the replica is a member already")
	// ErrInvalidChange means that the kind is unknown or the id is empty.
	ErrInvalidChange = errors.New("the change is not valid")
)

// NotLeaderError refuses a request that only the leader accepts. Nothing was
// appended.
type NotLeaderError struct {
	// Leader is the current leader, or empty if it is not known.
	Leader ID
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "raft: not the leader; the leader is not known"
	}
	return fmt.Sprintf("raft: not the leader; the leader is %q", e.Leader)
}

// MembershipError refuses a change of the membership. Nothing was appended.
type MembershipError struct {
	Change MembershipChange
	Reason error
}

// Error implements error.
func (e *MembershipError) Error() string {
	return fmt.Sprintf("raft: %s %q refused: %v", e.Change.Kind, e.Change.ID, e.Reason)
}

// Unwrap returns the reason.
func (e *MembershipError) Unwrap() error { return e.Reason }

// MalformedError reports a message that a correct replica never sends. The
// message did not change the log, but it may have raised the term and changed the
// leader.
type MalformedError struct {
	Kind   MessageKind
	From   ID
	Reason string
}

// Error implements error.
func (e *MalformedError) Error() string {
	return fmt.Sprintf("raft: malformed %s message from %q: %s", e.Kind, e.From, e.Reason)
}

// InvalidStateError reports stored state with which a replica must not start.
type InvalidStateError struct{ Reason string }

// Error implements error.
func (e *InvalidStateError) Error() string { return "raft: stored state is inconsistent: " + e.Reason }

// ConfigError reports an unusable Config.
type ConfigError struct{ Field, Reason string }

// Error implements error.
func (e *ConfigError) Error() string { return fmt.Sprintf("raft: Config.%s %s", e.Field, e.Reason) }
