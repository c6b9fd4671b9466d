// Package fleetnode runs one replica of the control group in fleet mode
// (routing document and key ranges): the replicated log, its store, the state
// of package fleet and, on the leader, its decisions. The group bootstraps
// itself and replaces lost replicas without an operator.
package fleetnode

import (
	"time"

	"github.com/zeebo/errs"

	"bramleyquay.example/coord/fleet"
	"bramleyquay.example/router/memory"
)

// Error is the class of this package's errors.
var Error = errs.Class("control")

// Config describes one replica.
type Config struct {
	// Address is the peer address at which other replicas reach this one.
	Address string
	// Cluster is the name of the cluster. Requests to join from another
	// cluster are rejected, and so is its data directory.
	Cluster string
	// DataDir is the directory of the log, the snapshots and the identity.
	DataDir string
	// InitialVoters are the peer addresses of the first voters. They are set at
	// the very first start only, with the same value on each of them: a replica
	// that has lost its data must not start with them, because it would vote
	// again under its old id. A replica that is not among them, or that starts
	// without them, asks to be added.
	InitialVoters []string
	// Leader configures the leader's decisions on leases and key ranges.
	Leader fleet.Config
	// Group configures the membership changes of the control group.
	Group fleet.MembershipConfig
	// SnapshotEntries is the largest number of applied entries between snapshots. A
	// snapshot is due sooner if they are large. More entries need more disk space and
	// make the start slower; fewer entries cause more writes.
	SnapshotEntries uint64
	// MaxChangeBytes bounds the encoded change of a document, which contains the whole
	// document and its text. The replica holds several copies of it while it is changed,
	// sent or restored. A larger one is refused with fleet.TooLarge.
	MaxChangeBytes int
	// Memory is the memory that received snapshots take; nil sets no bound.
	Memory *memory.Pool
}

const (
	// tickInterval is the length of a tick of the replicated log. Each tick wakes
	// the process.
	tickInterval = 25 * time.Millisecond
	// heartbeatTicks is 100 ms between heartbeats.
	heartbeatTicks = 4
	// electionTicks gives election timeouts of 500 ms to 1 s. A disk sync that
	// takes thirty times as long as usual must not cause an election.
	electionTicks = 20
	// maxCatchUpTicks is the largest number of ticks that are made up after a
	// pause of the process. It is enough for a leader to notice that it has
	// lost its quorum.
	maxCatchUpTicks = 4 * electionTicks
	// leaseInterval is the time between two checks of the members' leases by
	// the leader.
	leaseInterval = 50 * time.Millisecond
	// membershipInterval is the time between two checks of the control group's
	// membership by the leader.
	membershipInterval = 100 * time.Millisecond
	// joinInterval is the time between two requests to be added.
	joinInterval = 300 * time.Millisecond
	// notifyInterval is the minimum time between two notifications of members.
	notifyInterval = 20 * time.Millisecond
	// directoryNotifyInterval is the same for changes of the directory only,
	// which come in quick succession when many processes start.
	directoryNotifyInterval = 80 * time.Millisecond
	// DefaultSnapshotEntries is for changes of a few kilobytes.
	DefaultSnapshotEntries = 500
)
