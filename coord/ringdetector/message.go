package ringdetector

import "bramleyquay.example/coord/table"

// Kind states what a Message means.
type Kind uint8

const (
	// Heartbeat asks the successor for an Ack.
	Heartbeat Kind = iota + 1
	// Ack answers a Heartbeat.
	Ack
	// Failed means that Member was suspected in Generation.
	Failed
	// Joined means that Member is in the ring with Generation.
	Joined
)

// Message is what detectors send to each other.
type Message struct {
	Kind   Kind           `json:"kind" cbor:"1,keyasint"`
	From   table.MemberID `json:"from" cbor:"2,keyasint"`
	Member table.MemberID `json:"member,omitempty" cbor:"3,keyasint,omitempty"`
	// Generation is the number of times that Member has rejoined the ring after it
	// was suspected. A message of an older generation than the known one is ignored.
	Generation uint64 `json:"generation,omitempty" cbor:"4,keyasint,omitempty"`
}

// Action is something that the caller of a Detector has to do: Send or Suspect.
type Action interface{ action() }

// Send passes a message to a member.
type Send struct {
	To      table.MemberID
	Message Message
}

// Suspect reports that the detector suspects its successor, Member, of having
// failed.
type Suspect struct{ Member table.MemberID }

func (Send) action()    {}
func (Suspect) action() {}
