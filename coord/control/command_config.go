package control

import "bramleyquay.example/coord/config"

// ApplyDocument replaces the operator's document.
type ApplyDocument struct {
	// Base is the document revision that the author started from.
	Base     uint64 `json:"base" cbor:"1,keyasint"`
	ChangeID string `json:"changeId" cbor:"2,keyasint"`
	Author   string `json:"author" cbor:"3,keyasint"`
	// Text is the document as JSON.
	Text []byte `json:"text" cbor:"4,keyasint"`
	// AtMs is the leader's wall clock in Unix milliseconds, used only in the
	// history. It differs in a retry of the same change.
	AtMs int64 `json:"atMs,omitempty" cbor:"5,keyasint,omitempty"`
}

// ClearBarrier ends the barrier of a key space that was created or removed or
// that took over keys. The leader proposes it once no member can act on an
// earlier document.
type ClearBarrier struct {
	Name string `json:"name" cbor:"1,keyasint"`
	// Revision is the table revision at which the barrier was set.
	Revision uint64 `json:"revision" cbor:"2,keyasint"`
}

// ProposedAction is an action that is not automatic at present, so that an
// operator has to approve it. Approval applies its commands.
type ProposedAction struct {
	// ID identifies the action, for example failover/m3/17.
	ID      string        `json:"id" cbor:"1,keyasint"`
	Kind    config.Action `json:"kind" cbor:"2,keyasint"`
	Summary string        `json:"summary" cbor:"3,keyasint"`
	// Commands are applied on approval. Commands that the state refuses by
	// then have no effect.
	Commands []Command `json:"commands" cbor:"4,keyasint"`
}

// ProposeAction adds a pending action, or replaces the one with the same ID.
type ProposeAction struct {
	Action ProposedAction `json:"action" cbor:"1,keyasint"`
}

// ApproveAction removes a pending action and applies its commands. It is refused as
// stale if none of them is accepted.
type ApproveAction struct {
	ID       string `json:"id" cbor:"1,keyasint"`
	ChangeID string `json:"changeId" cbor:"2,keyasint"`
	Author   string `json:"author" cbor:"3,keyasint"`
}

// DismissAction removes a pending action without applying its commands.
type DismissAction struct {
	ID       string `json:"id" cbor:"1,keyasint"`
	ChangeID string `json:"changeId,omitempty" cbor:"2,keyasint,omitempty"`
	Author   string `json:"author,omitempty" cbor:"3,keyasint,omitempty"`
}
