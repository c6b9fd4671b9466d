package member

import (
	"time"

	"bramleyquay.example/coord/lease"
	"bramleyquay.example/coord/table"
)

// Config configures an Agent.
type Config struct {
	ID         table.MemberID
	DataCentre string
	// PeerAddr is the address at which other processes reach this one.
	PeerAddr string
	// Control lists the control replicas from the settings; it must not be
	// empty.
	Control []ControlReplica
	Lease   lease.Config
	// RenewTimeout is the time limit of one renewal. With a shorter time the
	// agent finds a new leader sooner, but retries more renewals while the
	// leader is slow.
	RenewTimeout time.Duration
}

// DefaultRenewTimeout lets two retries at other replicas start before a lease
// of one second ends, at a renewal interval of 250 ms.
const DefaultRenewTimeout = 300 * time.Millisecond

// ControlReplica is the id and the peer address of a control replica in the
// settings.
type ControlReplica struct {
	ID string
	// Address is the replica's peer address.
	Address string
}
