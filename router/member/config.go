package member

import (
	"time"

	"bramleyquay.example/coord/lease"
	"bramleyquay.example/coord/table"
)

// Config describes one process as a member.
type Config struct {
	ID         table.MemberID
	DataCentre string
	// PeerAddr is where other processes reach this one.
	PeerAddr string
	// Control lists the control replicas that the settings name.
	Control []ControlReplica
	Lease   lease.Config
	// RenewTimeout ends a renewal that gets no answer. A shorter time finds a
	// new leader sooner and repeats more renewals to a slow one.
	RenewTimeout time.Duration
}

// DefaultRenewTimeout leaves time for two tries at other replicas within one
// lease of a second.
const DefaultRenewTimeout = 300 * time.Millisecond

// ControlReplica is a control replica.
type ControlReplica struct {
	ID string
	// Address is the replica's peer address.
	Address string
}
