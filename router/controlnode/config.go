// Package controlnode runs one replica of the control group: the replicated
// log, its store, the state and, on the leader, the controller.
package controlnode

import (
	"time"

	"github.com/zeebo/errs"

	"bramleyquay.example/coord/control"
	"bramleyquay.example/coord/lease"
)

// Error is the class of this package's errors.
var Error = errs.Class("control")

// ControlReplica is a control replica named in the settings.
type ControlReplica struct {
	ID      string
	Address string
}

// Config describes one replica.
type Config struct {
	// ID is the replica's name in the settings. A replica whose data folder
	// was lost takes part under a new id that starts with it.
	ID      string
	Cluster string
	// DataDir holds log and snapshots.
	DataDir string
	// Bootstrap founds the group together with Peers.
	Bootstrap bool
	Peers     []ControlReplica
	Lease     lease.Config
	// Controller tunes the leader's decisions.
	Controller control.Config
	// SnapshotEntries is the number of applied entries between snapshots. More
	// entries cost disk and a longer start, fewer cost writes.
	SnapshotEntries uint64
	Seed            uint64
}

const (
	// tickInterval is the unit of the replicated log's times.
	tickInterval = 10 * time.Millisecond
	// heartbeatTicks makes 50 ms between heartbeats.
	heartbeatTicks = 5
	// electionTicks makes election timeouts of 200 ms to 400 ms, so that a new
	// leader is there within 0.5 s of the loss of the old one.
	electionTicks = 20
	// maxCatchUpTicks bounds the ticks made up after a pause of the process. It
	// is enough for a leader to notice that it has lost its quorum.
	maxCatchUpTicks = 4 * electionTicks
	// controllerInterval is the time between two looks of the leader at leases.
	controllerInterval = 20 * time.Millisecond
	// DefaultSnapshotEntries keeps the log below a few megabytes.
	DefaultSnapshotEntries = 2_000
)
