// Package operator serves the operators of a cluster with hashed shards
// (coord/control): a JSON API for bqctl and a console of HTML forms. Both use a
// ControlPlane.
package operator

import (
	"context"
	"encoding/json"
)

// ControlPlane executes operators' requests on the control group. Package
// operatorrpc implements it on the control leader and, by forwarding to the leader,
// in every other process.
//
// Methods return *Error for every failure that an operator can act on. On a replica
// that does not lead, operatorrpc.Service returns *peer.NotLeaderError, which
// operatorrpc.Client follows. The HTTP handlers report any other error as
// CodeInternal.
//
// A call with the change id of an accepted change returns the first reply again and
// changes nothing. There are two exceptions: ControlChange ignores the change id and
// reports a change that is in effect with Already. A retry of an accepted
// AutomationOn or AutomationOff is refused at present as CodeInvalid, because it is
// applied to a newer revision and so is taken for another change.
type ControlPlane interface {
	// Apply makes Text the newest document if Base is the current revision.
	// If the reply has a Conflict or findings that are errors, nothing was
	// changed.
	Apply(ctx context.Context, request ApplyRequest) (ApplyReply, error)
	// Preview returns what applying text would change. It changes nothing.
	Preview(ctx context.Context, text string) (PreviewReply, error)
	// History returns the newest accepted changes, newest first. The control
	// group retains 200.
	History(ctx context.Context) ([]Change, error)
	// Document returns one revision of the document; 0 is the newest. Before the
	// first change the newest is revision 0 with an empty text. A revision that
	// is not retained is refused with CodeNotFound.
	Document(ctx context.Context, revision uint64) (DocumentReply, error)
	// Drain takes a target, an instance or a data centre out of service, or
	// returns it. It returns once the change is committed, before units move.
	Drain(ctx context.Context, request DrainRequest) (Result, error)
	// Move starts a planned move of a unit. It does not wait for its end.
	Move(ctx context.Context, request MoveRequest) (Result, error)
	// Split splits a key out of its shard into a unit of its own.
	Split(ctx context.Context, request SplitRequest) (Result, error)
	// Merge merges a split key back into its shard.
	Merge(ctx context.Context, request MergeRequest) (Result, error)
	// Automation lists, approves or dismisses pending actions, or turns
	// automatic actions on or off.
	Automation(ctx context.Context, request AutomationRequest) (AutomationReply, error)
	// ControlChange adds, promotes or removes a replica of the control group. It
	// returns once the change is committed.
	ControlChange(ctx context.Context, request ControlChangeRequest) (Result, error)
	// Status returns the state of the cluster as the leader sees it.
	Status(ctx context.Context) (Status, error)
	// Dump returns a member's internal state as JSON, without secrets.
	Dump(ctx context.Context, member string) (json.RawMessage, error)
}
