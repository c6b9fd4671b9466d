package control

// Refusal says why a command had no effect. A refused command changes nothing.
type Refusal string

const (
	// RefusedConflict means that the document's base is not the current
	// revision. Read the current document and apply the change to it.
	RefusedConflict Refusal = "conflict"
	// RefusedInvalid means that the command breaks a rule, whatever the state.
	RefusedInvalid Refusal = "invalid"
	// RefusedStale means that the state has moved on since the command was
	// planned.
	RefusedStale Refusal = "stale"
	// RefusedNotFound means that the command names something that does not exist.
	RefusedNotFound Refusal = "unknown"
	// RefusedNotReady means that the command must wait: for a lease, a move or
	// members that may still act on an earlier state.
	RefusedNotReady Refusal = "in-use"
	// RefusedChangeIDReused means that the change id was used for another change.
	RefusedChangeIDReused Refusal = "change-id-reused"
)

// Result is the answer to a command. A resent change gets the first one.
type Result struct {
	// Refusal is empty if the command was accepted.
	Refusal Refusal `json:"refusal,omitempty" cbor:"1,keyasint,omitempty"`
	// Detail is a short text for people.
	Detail string `json:"detail,omitempty" cbor:"2,keyasint,omitempty"`
	// ConfigRevision is the document's revision after the command.
	ConfigRevision uint64 `json:"configRevision" cbor:"3,keyasint"`
	// TableRevision is the table's revision after the command.
	TableRevision uint64 `json:"tableRevision" cbor:"4,keyasint"`
	// ChangedBy and ChangeID say who made ConfigRevision; set on a conflict.
	ChangedBy string `json:"changedBy,omitempty" cbor:"5,keyasint,omitempty"`
	ChangeID  string `json:"changeId,omitempty" cbor:"6,keyasint,omitempty"`
}

// Accepted reports whether the command took effect.
func (r Result) Accepted() bool { return r.Refusal == "" }

func refuse(kind Refusal, detail string) Result { return Result{Refusal: kind, Detail: detail} }
