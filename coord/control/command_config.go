package control

import "bramleyquay.example/coord/config"

// ApplyDocument replaces the operator's document.
type ApplyDocument struct {
	// Base is the revision that the author changed.
	Base     uint64 `json:"base" cbor:"1,keyasint"`
	ChangeID string `json:"changeId" cbor:"2,keyasint"`
	Author   string `json:"author" cbor:"3,keyasint"`
	// Text is the document as JSON.
	Text []byte `json:"text" cbor:"4,keyasint"`
	// AtMs is the leader's wall clock in Unix milliseconds, for the history
	// only. It differs in a resend of the same change.
	AtMs int64 `json:"atMs,omitempty" cbor:"5,keyasint,omitempty"`
}

// ClearBarrier lets a key space be served that was created or that took
// over keys. The leader proposes it once no member can act on an earlier
// document.
type ClearBarrier struct {
	Name string `json:"name" cbor:"1,keyasint"`
	// Revision is the table revision since which the key space waits.
	Revision uint64 `json:"revision" cbor:"2,keyasint"`
}

// ProposedAction is an automatic action that is switched off and waits for an
// operator. Approval applies its commands.
type ProposedAction struct {
	// ID names the action, for instance failover/m3/17.
	ID      string        `json:"id" cbor:"1,keyasint"`
	Kind    config.Action `json:"kind" cbor:"2,keyasint"`
	Summary string        `json:"summary" cbor:"3,keyasint"`
	// Commands are applied on approval. Those that no longer fit have no
	// effect.
	Commands []Command `json:"commands" cbor:"4,keyasint"`
}

// ProposeAction lists an action as pending, or replaces the one with its ID.
type ProposeAction struct {
	Action ProposedAction `json:"action" cbor:"1,keyasint"`
}

// ApproveAction applies a pending action.
type ApproveAction struct {
	ID       string `json:"id" cbor:"1,keyasint"`
	ChangeID string `json:"changeId" cbor:"2,keyasint"`
	Author   string `json:"author" cbor:"3,keyasint"`
}

// DismissAction removes a pending action without effect.
type DismissAction struct {
	ID       string `json:"id" cbor:"1,keyasint"`
	ChangeID string `json:"changeId,omitempty" cbor:"2,keyasint,omitempty"`
	Author   string `json:"author,omitempty" cbor:"3,keyasint,omitempty"`
}
