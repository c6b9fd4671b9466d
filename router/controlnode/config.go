// Package controlnode runs one replica of the control group in the mode with
// hashed shards: the replicated log, its store, the state of package control
// and, on the leader, the controller.
package controlnode

import (
	"time"

	"github.com/zeebo/errs"

	"bramleyquay.example/coord/control"
	"bramleyquay.example/coord/lease"
)

// Error is the class of this package's errors.
var Error = errs.Class("control")

// ControlReplica is the id and the peer address of a control replica in the
// settings.
type ControlReplica struct {
	ID      string
	Address string
}

// Config describes one replica.
type Config struct {
	// ID is the replica's name in the settings. It must not contain a dot,
	// because NameOf cuts ids at the first one. A replica that is added later, or
	// whose data directory was lost, joins under an id that consists of this
	// name, a dot and the data directory id.
	ID string
	// Cluster is the name of the cluster. Probes from another cluster are
	// rejected, and so is its data directory.
	Cluster string
	// DataDir is the directory of the log, the snapshots and the identity.
	DataDir string
	// Bootstrap makes the replica an initial voter, which bootstraps the group
	// together with Peers.
	Bootstrap bool
	// Peers are all control replicas from the settings, including this one.
	Peers []ControlReplica
	// Lease is not used; the controller uses Controller.Lease.
	Lease lease.Config
	// Controller configures the leader's decisions.
	Controller control.Config
	// SnapshotEntries is the number of applied entries between snapshots. More
	// entries need more disk space and make the start slower; fewer entries
	// cause more writes.
	SnapshotEntries uint64
	// Seed is the seed of the controller's random numbers.
	Seed uint64
}

const (
	// tickInterval is the length of a tick of the replicated log.
	tickInterval = 10 * time.Millisecond
	// heartbeatTicks is 50 ms between heartbeats.
	heartbeatTicks = 5
	// electionTicks gives election timeouts of 200 ms to 400 ms, so that a new
	// leader is elected within 0.5 s of the loss of the old one.
	electionTicks = 20
	// maxCatchUpTicks is the largest number of ticks that are made up after a
	// pause of the process. It is enough for a leader to notice that it has
	// lost its quorum.
	maxCatchUpTicks = 4 * electionTicks
	// controllerInterval is the time between two runs of the leader's controller,
	// which checks leases and moves.
	controllerInterval = 20 * time.Millisecond
	// DefaultSnapshotEntries keeps the log below a few megabytes.
	DefaultSnapshotEntries = 2_000
)
