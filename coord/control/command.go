package control

import (
	"github.com/zeebo/errs"

	"bramleyquay.example/coord/internal/codec"
)

// Error is the class of this package's errors.
var Error = errs.Class("control")

// Command is one entry of the replicated log for State. Exactly one field is
// set.
type Command struct {
	ApplyDocument      *ApplyDocument      `cbor:"1,keyasint,omitempty"`
	RegisterMember     *RegisterMember     `cbor:"2,keyasint,omitempty"`
	DeclareMembersLost *DeclareMembersLost `cbor:"3,keyasint,omitempty"`
	Assign             *Assign             `cbor:"4,keyasint,omitempty"`
	BeginMove          *BeginMove          `cbor:"5,keyasint,omitempty"`
	FinishMove         *FinishMove         `cbor:"6,keyasint,omitempty"`
	CancelMove         *CancelMove         `cbor:"7,keyasint,omitempty"`
	CopySynced         *CopySynced         `cbor:"8,keyasint,omitempty"`
	ChangeCopies       *ChangeCopies       `cbor:"9,keyasint,omitempty"`
	SplitKey           *SplitKey           `cbor:"10,keyasint,omitempty"`
	MergeKey           *MergeKey           `cbor:"11,keyasint,omitempty"`
	SetDrain           *SetDrain           `cbor:"12,keyasint,omitempty"`
	SetMemberState     *SetMemberState     `cbor:"13,keyasint,omitempty"`
	RemoveMember       *RemoveMember       `cbor:"14,keyasint,omitempty"`
	ProposeAction      *ProposeAction      `cbor:"15,keyasint,omitempty"`
	ApproveAction      *ApproveAction      `cbor:"16,keyasint,omitempty"`
	DismissAction      *DismissAction      `cbor:"17,keyasint,omitempty"`
	ClearRecordsLost   *ClearRecordsLost   `cbor:"18,keyasint,omitempty"`
	ClearBarrier       *ClearBarrier       `cbor:"19,keyasint,omitempty"`
}

// maxElements bounds the lists and maps of a command or a snapshot.
const maxElements = 1 << 24

var cborCodec = codec.New(maxElements)

// EncodeCommand returns c in the CBOR form of the replicated log.
func EncodeCommand(c Command) ([]byte, error) {
	data, err := cborCodec.Marshal(c)
	return data, Error.Wrap(err)
}

// DecodeCommand decodes a command that EncodeCommand encoded. It returns an error
// for malformed input.
func DecodeCommand(data []byte) (Command, error) {
	var c Command
	if err := cborCodec.Unmarshal(data, &c); err != nil {
		return Command{}, Error.Wrap(err)
	}
	return c, nil
}
