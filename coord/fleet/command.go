// Package fleet implements the control group of the fleet mode, the mode with
// a routing document and key ranges: its replicated state machine, the
// decisions of its leader, and the changes of its membership. Package control
// is its counterpart in the mode with hashed shards.
package fleet

import (
	"github.com/zeebo/errs"

	"bramleyquay.example/coord/internal/codec"
	"bramleyquay.example/coord/ranges"
	"bramleyquay.example/coord/routes"
)

// Error is the class of this package's errors.
var Error = errs.Class("fleet")

// Command is one entry of the replicated log. Exactly one field is set.
type Command struct {
	ApplyDocument *ApplyDocument `cbor:"1,keyasint,omitempty"`
	SetDrain      *SetDrain      `cbor:"2,keyasint,omitempty"`
	ReplaceRanges *ReplaceRanges `cbor:"3,keyasint,omitempty"`
	RegisterQuota *RegisterQuota `cbor:"4,keyasint,omitempty"`

	RecordDeparture  *RecordDeparture  `cbor:"5,keyasint,omitempty"`
	ForgetDepartures *ForgetDepartures `cbor:"6,keyasint,omitempty"`
}

// ApplyDocument replaces the routing document.
type ApplyDocument struct {
	// ChangeID is unique for the change and its content. A command whose id
	// belongs to one of the last maxChanges accepted changes has no effect and
	// returns Accepted.
	ChangeID string `json:"changeId" cbor:"1,keyasint"`
	// BaseVersion is the document version that the change was made from. The
	// command has no effect if another version is current.
	BaseVersion uint64 `json:"base" cbor:"2,keyasint"`
	// Document must be valid and have a higher version than the current one.
	Document *routes.Document `json:"document" cbor:"3,keyasint"`
	// Text is the document as its author wrote it.
	Text []byte `json:"text" cbor:"4,keyasint"`
}

// SetDrain starts or ends the drain of a data centre. It is idempotent.
type SetDrain struct {
	DataCentre string `json:"dataCentre" cbor:"1,keyasint"`
	On         bool   `json:"on" cbor:"2,keyasint"`
	// Base is the drain revision (Revisions.Drain) that was current while the operator
	// waited for the answer. The command has no effect if another one is current, so
	// that a copy which arrives after later orders changes nothing. Nil sets no
	// condition; only commands of the first log format have no base.
	Base *uint64 `json:"base,omitempty" cbor:"3,keyasint,omitempty"`
}

// ReplaceRanges replaces all ranges of one service's key space. Ranges that do
// not cover the key space have no effect. A range with a holder and fence zero
// gets the next fencing token.
type ReplaceRanges struct {
	Service string `cbor:"1,keyasint"`
	// BaseRevision is the key space revision that the leader planned from. The
	// command has no effect if another revision is current.
	BaseRevision uint64         `cbor:"2,keyasint"`
	Ranges       []ranges.Range `cbor:"3,keyasint"`
}

// ChangeStatus is the outcome of a command.
type ChangeStatus string

const (
	// Accepted means that the command has taken effect, now or earlier under the
	// same change id. A later command may have replaced its result since.
	Accepted ChangeStatus = "accepted"
	// Conflict means that another version or revision is current, or that the
	// ranges of a ReplaceRanges do not cover the key space. Nothing changed.
	Conflict ChangeStatus = "conflict"
	// Refused means that the document is missing, invalid, or not of a higher
	// version than the current one. Nothing changed.
	Refused ChangeStatus = "refused"
	// TooLarge means that the change is larger than the replicas accept. Nothing
	// changed.
	TooLarge ChangeStatus = "too large"
)

// Result is the status of a command and the document version after it.
type Result struct {
	Status  ChangeStatus `json:"outcome"`
	Version uint64       `json:"version"`
}

// maxElements bounds the elements of each list and map when a command or a
// snapshot is decoded.
const maxElements = 1 << 20

var binaryCodec = codec.New(maxElements)

// EncodeCommand encodes c as the data of a log entry, for State.Apply.
func EncodeCommand(c Command) ([]byte, error) {
	data, err := binaryCodec.Marshal(c)
	return data, Error.Wrap(err)
}
