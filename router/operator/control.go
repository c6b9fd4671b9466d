// Package operator serves the operators of a cluster: a JSON API for bqctl and
// a console of HTML forms. Both act through ControlPlane.
package operator

import (
	"context"
	"encoding/json"
)

// ControlPlane is the control group as operators see it. The process that serves
// operators implements it by passing each call to the control leader.
//
// Methods return *Error for everything that an operator can act on. Any other
// error is reported as CodeInternal. A call with a change id that was accepted
// before returns the first answer again and changes nothing.
type ControlPlane interface {
	// Apply makes Text the newest document if Base is the current revision.
	// With a Conflict or error findings in the reply nothing was changed.
	Apply(ctx context.Context, request ApplyRequest) (ApplyReply, error)
	// Preview says what applying text would do. It changes nothing.
	Preview(ctx context.Context, text string) (PreviewReply, error)
	// History returns the accepted changes, newest first.
	History(ctx context.Context) ([]Change, error)
	// Document returns one revision of the document; 0 is the newest.
	Document(ctx context.Context, revision uint64) (DocumentReply, error)
	// Drain takes a target, an instance or a data centre out of service, or
	// returns it. It answers once the change is recorded, before units move.
	Drain(ctx context.Context, request DrainRequest) (Result, error)
	// Move starts a planned move of a unit.
	Move(ctx context.Context, request MoveRequest) (Result, error)
	// Split gives a key a unit of its own.
	Split(ctx context.Context, request SplitRequest) (Result, error)
	// Merge returns a split key to its shard.
	Merge(ctx context.Context, request MergeRequest) (Result, error)
	// Automation lists, approves or dismisses pending actions, or turns
	// automatic actions on or off.
	Automation(ctx context.Context, request AutomationRequest) (AutomationReply, error)
	// ControlChange changes the members of the control group.
	ControlChange(ctx context.Context, request ControlChangeRequest) (Result, error)
	// Status returns the state of the cluster as the leader sees it.
	Status(ctx context.Context) (Status, error)
	// Dump returns a member's own state. It holds no secrets.
	Dump(ctx context.Context, member string) (json.RawMessage, error)
}
