// Package fleetnode runs one replica of a control group that forms and
// repairs itself: the replicated log, its store, the state of package fleet
// and, on the leader, its decisions.
package fleetnode

import (
	"time"

	"github.com/zeebo/errs"

	"bramleyquay.example/coord/fleet"
)

// Error is the class of this package's errors.
var Error = errs.Class("control")

// Config describes one replica.
type Config struct {
	// Address is the peer address at which other replicas reach this one.
	Address string
	// Cluster tells groups apart.
	Cluster string
	// DataDir holds log and snapshots.
	DataDir string
	// InitialVoters are the peer addresses of the first voters. They are given at
	// the very first start only, equal on all of them; a replica that is not
	// among them, or that starts without, asks to be added.
	InitialVoters []string
	Leader        fleet.Config
	Group         fleet.MembershipConfig
	// SnapshotEntries is the number of applied entries between snapshots. More
	// entries cost disk and a longer start, fewer cost writes.
	SnapshotEntries uint64
}

const (
	// tickInterval is the unit of the replicated log's times. Each tick wakes
	// the process.
	tickInterval = 25 * time.Millisecond
	// heartbeatTicks makes 100 ms between heartbeats.
	heartbeatTicks = 4
	// electionTicks makes election timeouts of 500 ms to 1 s: a sync of a disk
	// that is thirty times slower than usual must not end a term.
	electionTicks = 20
	// maxCatchUpTicks bounds the ticks made up after a pause of the process. It
	// is enough for a leader to notice that it has lost its quorum.
	maxCatchUpTicks = 4 * electionTicks
	// reviewInterval is the time between two looks of the leader at leases.
	reviewInterval = 50 * time.Millisecond
	// upkeepInterval is the time between two looks at the group.
	upkeepInterval = 100 * time.Millisecond
	// joinInterval is the time between two requests to be added.
	joinInterval = 300 * time.Millisecond
	// wakeInterval is the least time between two notifications of members.
	wakeInterval = 20 * time.Millisecond
	// directoryInterval is the same for changes of the directory alone, which
	// come in series when many processes start.
	directoryInterval = 80 * time.Millisecond
	// DefaultSnapshotEntries keeps the log below a few megabytes.
	DefaultSnapshotEntries = 500
)
