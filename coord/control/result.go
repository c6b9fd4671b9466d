package control

// Refusal says why a command had no effect on the table, the document and the
// directory. A refused ApproveAction still removes the pending action if none of its
// commands was accepted.
type Refusal string

const (
	// RefusedConflict means that the document's base is not the current
	// revision. Read the current document and apply the change to it.
	RefusedConflict Refusal = "conflict"
	// RefusedInvalid means that the command breaks a rule: it is malformed, or
	// its values are not allowed. It may depend on the current document and
	// members, for example for a BeginMove to a member that is draining.
	RefusedInvalid Refusal = "invalid"
	// RefusedStale means that the state has changed since the command was
	// planned.
	RefusedStale Refusal = "stale"
	// RefusedNotFound means that the command names something that does not exist.
	RefusedNotFound Refusal = "unknown"
	// RefusedNotReady means that the command is not possible at present: the
	// member's registered incarnation is not lost, the member still owns units,
	// members have not yet reported the current table or document, a unit is not
	// served or has another owner, or too many actions are pending.
	RefusedNotReady Refusal = "in-use"
	// RefusedChangeIDReused means that the change id was already used for a
	// different change.
	RefusedChangeIDReused Refusal = "change-id-reused"
)

// Result is the result of a command. A retried change gets the first result,
// including a refusal. Only a BeginMove that was refused as stale can be retried
// under the same change id.
type Result struct {
	// Refusal is empty if the command was accepted.
	Refusal Refusal `json:"refusal,omitempty" cbor:"1,keyasint,omitempty"`
	// Detail explains the refusal in a short text.
	Detail string `json:"detail,omitempty" cbor:"2,keyasint,omitempty"`
	// ConfigRevision is the document's revision after the command.
	ConfigRevision uint64 `json:"configRevision" cbor:"3,keyasint"`
	// TableRevision is the table's revision after the command.
	TableRevision uint64 `json:"tableRevision" cbor:"4,keyasint"`
	// ChangedBy and ChangeID are the author and change id of ConfigRevision.
	// They are set only on a conflict.
	ChangedBy string `json:"changedBy,omitempty" cbor:"5,keyasint,omitempty"`
	ChangeID  string `json:"changeId,omitempty" cbor:"6,keyasint,omitempty"`
}

// Accepted reports whether the command took effect.
func (r Result) Accepted() bool { return r.Refusal == "" }

func refuse(kind Refusal, detail string) Result { return Result{Refusal: kind, Detail: detail} }
