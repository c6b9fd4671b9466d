package ringdetector

import "bramleyquay.example/coord/table"

// Kind is the kind of a Message.
type Kind uint8

const (
	// Heartbeat asks the successor for an Ack.
	Heartbeat Kind = iota + 1
	// Ack answers a Heartbeat.
	Ack
	// Failed says that Member of Generation was suspected.
	Failed
	// Joined says that Member is part of the ring with Generation.
	Joined
)

// Message is what detectors send to each other.
type Message struct {
	Kind   Kind           `json:"kind" cbor:"1,keyasint"`
	From   table.MemberID `json:"from" cbor:"2,keyasint"`
	Member table.MemberID `json:"member,omitempty" cbor:"3,keyasint,omitempty"`
	// Generation rises each time that a suspected member returns.
	Generation uint64 `json:"generation,omitempty" cbor:"4,keyasint,omitempty"`
}

// Action is something to do for a Detector: Send or Suspect.
type Action interface{ action() }

// Send passes a message to a member.
type Send struct {
	To      table.MemberID
	Message Message
}

// Suspect reports that this detector found its successor failed.
type Suspect struct{ Member table.MemberID }

func (Send) action()    {}
func (Suspect) action() {}
