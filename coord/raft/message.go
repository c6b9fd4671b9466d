package raft

import "fmt"

// MessageKind is the kind of a Message.
type MessageKind uint8

const (
	// MsgPreVote asks whether a vote for Term would be granted.
	MsgPreVote MessageKind = iota + 1
	// MsgPreVoteReply answers MsgPreVote. If the pre-vote is granted, Term is the
	// term of the request, otherwise the term of the sender.
	MsgPreVoteReply
	// MsgVote asks for the vote in Term.
	MsgVote
	// MsgVoteReply answers MsgVote.
	MsgVoteReply
	// MsgAppend sends entries after the entry (Index, LogTerm).
	MsgAppend
	// MsgAppendReply answers MsgAppend and MsgSnapshot. It also rejects a
	// MsgHeartbeat of an earlier term.
	MsgAppendReply
	// MsgHeartbeat resets the followers' election timers. Its reply confirms that
	// the sender still led when it opened the round.
	MsgHeartbeat
	// MsgHeartbeatReply answers MsgHeartbeat with the same Round.
	MsgHeartbeatReply
	// MsgSnapshot sends a whole snapshot.
	MsgSnapshot
	// MsgTimeoutNow makes the receiver campaign at once.
	MsgTimeoutNow
)

var messageKindNames = [...]string{"invalid", "pre-vote", "pre-vote-reply", "vote", "vote-reply", "append",
	"append-reply", "heartbeat", "heartbeat-reply", "snapshot", "timeout-now"}

// String implements fmt.Stringer.
func (k MessageKind) String() string {
	if int(k) < len(messageKindNames) {
		return messageKindNames[k]
	}
	return fmt.Sprintf("kind %d", uint8(k))
}

// Message is a message between two replicas, encoded as JSON or CBOR.
type Message struct {
	Kind MessageKind `json:"k" cbor:"1,keyasint"`
	From ID          `json:"f" cbor:"2,keyasint"`
	To   ID          `json:"to" cbor:"3,keyasint"`
	Term uint64      `json:"t" cbor:"4,keyasint"`
	// Index and LogTerm are the entry before Entries (append), the
	// candidate's last entry (vote, pre-vote), or in an append reply the last
	// matching index, or the Index that did not match if Reject is set.
	Index   uint64 `json:"i,omitempty" cbor:"5,keyasint,omitempty"`
	LogTerm uint64 `json:"lt,omitempty" cbor:"6,keyasint,omitempty"`
	// Commit is the leader's commit index. In a heartbeat it is limited to the last
	// index known to be synced at the receiver.
	Commit  uint64  `json:"c,omitempty" cbor:"7,keyasint,omitempty"`
	Entries []Entry `json:"e,omitempty" cbor:"8,keyasint,omitempty"`
	Reject  bool    `json:"r,omitempty" cbor:"9,keyasint,omitempty"`
	// HintIndex and HintTerm are, in a rejected append reply, the last entry of
	// the sender that may match.
	HintIndex uint64 `json:"hi,omitempty" cbor:"10,keyasint,omitempty"`
	HintTerm  uint64 `json:"ht,omitempty" cbor:"11,keyasint,omitempty"`
	// Round numbers the heartbeat rounds of a leader's term.
	Round uint64 `json:"rd,omitempty" cbor:"12,keyasint,omitempty"`
	// Force marks a vote request of a leadership transfer: it is answered even
	// within the election timeout after a leader's message.
	Force    bool      `json:"fo,omitempty" cbor:"13,keyasint,omitempty"`
	Snapshot *Snapshot `json:"s,omitempty" cbor:"14,keyasint,omitempty"`
}

// maxCounter bounds terms, indexes and rounds in received messages, so that
// no sum of them overflows.
const maxCounter = 1 << 62

// largest returns the largest counter in the message.
func (m *Message) largest() uint64 {
	largest := max(m.Term, m.Index, m.LogTerm, m.Commit, m.HintIndex, m.HintTerm, m.Round)
	if m.Snapshot != nil {
		largest = max(largest, m.Snapshot.Index, m.Snapshot.Term)
	}
	return largest
}

// check returns a *MalformedError if a received message is not well formed.
func (m *Message) check(self ID) error {
	bad := func(reason string) error {
		return &MalformedError{Kind: m.Kind, From: m.From, Reason: reason}
	}
	switch {
	case m.Kind == 0 || int(m.Kind) >= len(messageKindNames):
		return bad("unknown kind")
	case m.To != self:
		return bad(fmt.Sprintf("addressed to %q", m.To))
	case m.From == "" || m.From == self:
		return bad("sender is empty or this replica")
	case m.Term == 0:
		return bad("term is zero")
	case m.largest() > maxCounter:
		return bad("a counter is out of range")
	case len(m.Entries) > 0 && m.Kind != MsgAppend:
		return bad("entries outside an append")
	case (m.Snapshot != nil) != (m.Kind == MsgSnapshot):
		return bad("snapshot is missing or not expected")
	}
	switch m.Kind {
	case MsgAppend:
		if m.LogTerm > m.Term || (m.Index == 0) != (m.LogTerm == 0) {
			return bad("previous entry is not possible")
		}
		if err := checkEntries(m.Entries, m.Index, m.LogTerm, m.Term); err != nil {
			return bad(err.Error())
		}
	case MsgSnapshot:
		if err := m.Snapshot.check(); err != nil {
			return bad(err.Error())
		}
		if m.Snapshot.Term > m.Term {
			return bad("snapshot is of a later term")
		}
	case MsgHeartbeat, MsgHeartbeatReply:
		if m.Round == 0 {
			return bad("round is zero")
		}
	}
	return nil
}
