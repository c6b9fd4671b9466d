package control

import "bramleyquay.example/coord/table"

// MemberIncarnation identifies one start of a member's process.
type MemberIncarnation struct {
	ID          table.MemberID `json:"id" cbor:"1,keyasint"`
	Incarnation uint64         `json:"incarnation" cbor:"2,keyasint"`
}

// RegisterMember adds a member, replaces an incarnation of it that is lost or that is
// leaving and idle, or changes the address or target of the registered incarnation.
type RegisterMember struct {
	Member Member `json:"member" cbor:"1,keyasint"`
}

// DeclareMembersLost declares members lost whose leases have ended.
type DeclareMembersLost struct {
	Members []MemberIncarnation `json:"members" cbor:"1,keyasint"`
	// Assignments gives the members' units new owners in the same command.
	// Assignments to unsuitable members are skipped.
	Assignments []Assignment `json:"assignments,omitempty" cbor:"2,keyasint,omitempty"`
	// KeepUnits keeps the members' units reserved for them and out of service,
	// because automatic failover is off. A later DeclareMembersLost without it,
	// the registration of a new incarnation or RemoveMember ends the
	// reservation.
	KeepUnits bool `json:"keepUnits,omitempty" cbor:"3,keyasint,omitempty"`
}

// SetMemberState drains a member or ends that drain.
type SetMemberState struct {
	ID          table.MemberID `json:"id" cbor:"1,keyasint"`
	Incarnation uint64         `json:"incarnation" cbor:"2,keyasint"`
	// State is MemberActive or MemberDraining. MemberActive does not end a
	// drain that SetDrain started.
	State MemberState `json:"state" cbor:"3,keyasint"`
	// Leaving records that the process is stopping.
	Leaving  bool   `json:"leaving,omitempty" cbor:"4,keyasint,omitempty"`
	ChangeID string `json:"changeId,omitempty" cbor:"5,keyasint,omitempty"`
	Author   string `json:"author,omitempty" cbor:"6,keyasint,omitempty"`
}

// RemoveMember removes a member that is lost, or that owns no units while no barrier
// is set.
type RemoveMember struct {
	ID          table.MemberID `json:"id" cbor:"1,keyasint"`
	Incarnation uint64         `json:"incarnation" cbor:"2,keyasint"`
	ChangeID    string         `json:"changeId,omitempty" cbor:"3,keyasint,omitempty"`
	Author      string         `json:"author,omitempty" cbor:"4,keyasint,omitempty"`
}

// DrainScope is the scope of a drain.
type DrainScope string

const (
	// DrainTarget covers the target of one member.
	DrainTarget DrainScope = "target"
	// DrainInstance covers one member, or every member at one IP address.
	DrainInstance DrainScope = "instance"
	// DrainDataCentre covers every member in a data centre.
	DrainDataCentre DrainScope = "dataCentre"
)

// SetDrain starts or ends a drain.
type SetDrain struct {
	Scope DrainScope `json:"scope" cbor:"1,keyasint"`
	// Name is the member id for DrainTarget, the member id or IP address for
	// DrainInstance, and the data centre's name for DrainDataCentre.
	Name     string `json:"name" cbor:"2,keyasint"`
	On       bool   `json:"on" cbor:"3,keyasint"`
	ChangeID string `json:"changeId,omitempty" cbor:"4,keyasint,omitempty"`
	Author   string `json:"author,omitempty" cbor:"5,keyasint,omitempty"`
}
