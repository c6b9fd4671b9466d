// Package fleet holds the replicated state of a control group that routes by
// document and grants ranges of keys, and the decisions of its leader.
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
}

// ApplyDocument replaces the routing document.
type ApplyDocument struct {
	// ChangeID identifies the change with its content, so that a resend gets
	// the first answer.
	ChangeID string `json:"changeId" cbor:"1,keyasint"`
	// BaseVersion is the version that the change builds on.
	BaseVersion uint64 `json:"base" cbor:"2,keyasint"`
	// Document is valid.
	Document *routes.Document `json:"document" cbor:"3,keyasint"`
	// Text is the document as its author wrote it.
	Text []byte `json:"text" cbor:"4,keyasint"`
}

// SetDrain starts or ends the drain of a data centre. Repeats have no effect.
type SetDrain struct {
	DataCentre string `json:"dataCentre" cbor:"1,keyasint"`
	On         bool   `json:"on" cbor:"2,keyasint"`
}

// ReplaceRanges replaces the rows of one service's key space.
type ReplaceRanges struct {
	Service string `cbor:"1,keyasint"`
	// BaseRevision is the revision of the key space that the leader planned with. The
	// command has no effect on another one.
	BaseRevision uint64         `cbor:"2,keyasint"`
	Ranges       []ranges.Range `cbor:"3,keyasint"`
}

// ChangeStatus states what a command did.
type ChangeStatus string

const (
	// Accepted means that the command is in force, now or since an earlier
	// command with the same change id.
	Accepted ChangeStatus = "accepted"
	// Conflict means that another version is current. Nothing changed.
	Conflict ChangeStatus = "conflict"
	// Refused means that the command can never be accepted. Nothing changed.
	Refused ChangeStatus = "refused"
)

// Result is what a command did and the version in force after it.
type Result struct {
	Status  ChangeStatus `json:"outcome"`
	Version uint64       `json:"version"`
}

// maxElements bounds the lists and maps of a command or a snapshot.
const maxElements = 1 << 20

var binary = codec.New(maxElements)

// EncodeCommand returns the log form of c.
func EncodeCommand(c Command) ([]byte, error) {
	data, err := binary.Marshal(c)
	return data, Error.Wrap(err)
}
