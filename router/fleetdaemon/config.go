// Package fleetdaemon builds and runs the processes of a cluster that routes
// by document and grants ranges of keys: one beside each target, and the
// control replicas. How callers, targets and operators speak is up to the
// program that embeds it.
package fleetdaemon

import (
	"net"
	"slices"
	"time"

	"github.com/zeebo/errs"

	"bramleyquay.example/router/relay"
)

// Error is the class of this package's errors.
var Error = errs.Class("daemon")

// Config describes one process.
type Config struct {
	// Cluster must be equal in all processes that talk to each other.
	Cluster string
	// Peer is the address for other processes; its port is the same everywhere.
	Peer string
	// ListenPeer is listened on in place of Peer if it is set, for a process
	// behind a forwarder.
	ListenPeer string
	// TrustNetwork accepts peers without a shared secret. It is for networks
	// that nobody else reaches. Without it Secret is needed.
	TrustNetwork bool
	Secret       []byte
	// Seeds are peer addresses of control replicas.
	Seeds []string
	// Metrics is the address of metrics and health; empty leaves them out.
	Metrics string
	// StopTimeout bounds a planned stop.
	StopTimeout time.Duration
	// MemoryBytes is the process's limit; the collector keeps below it.
	MemoryBytes int64
	// Lease configures the leases on keys; equal in all processes.
	Lease LeaseConfig
	// Sidecar is set for the process beside a target, Control for a replica.
	Sidecar *Sidecar
	Control *ControlConfig
}

// LeaseConfig tells how long targets may hold keys without news from control.
type LeaseConfig struct {
	// AnnounceInterval is the usual time between two announcements of a target.
	AnnounceInterval time.Duration
	// MaxHold is the longest time that a target takes a grant for.
	MaxHold time.Duration
}

const (
	// leaseIntervals and leaseBase make a lease outlast two announcements and
	// an election with its renewals.
	leaseIntervals = 2
	leaseBase      = 3 * time.Second
	// maxHoldShare keeps a lease within the longest hold.
	maxHoldShare = 0.9
)

// Duration returns the lease.
func (l LeaseConfig) Duration() time.Duration {
	d := leaseIntervals*l.AnnounceInterval + leaseBase
	if l.MaxHold > 0 {
		d = min(d, time.Duration(maxHoldShare*float64(l.MaxHold)))
	}
	return d
}

// Sidecar describes the process beside a target.
type Sidecar struct {
	DataCentre string
	// Caller is the address for callers, Gate the one for peers' requests; the
	// port at which others reach the gate is the same everywhere.
	Caller, Gate string
	// GatePort is that port if it is not the one of Gate; zero else.
	GatePort int
	// Announce is the address for announcements of the target over HTTP. Empty
	// leaves them to the program that embeds the daemon.
	Announce string
	// Target and Service are the target's address and service.
	Target, Service string
	HeaderNames     relay.HeaderNames
	Budget          relay.RetryBudgetConfig
}

// ControlConfig describes a control replica.
type ControlConfig struct {
	DataDir string
	// InitialVoters are the peer addresses of the first voters, at the very first
	// start only.
	InitialVoters []string
	// ToleratedFailures is the number of replicas that may be lost at once.
	ToleratedFailures int
}

// check reports the first reason for which the process cannot run.
func (c *Config) check() error {
	switch {
	case c.Cluster == "":
		return Error.New("the cluster has no name")
	case !c.TrustNetwork && len(c.Secret) == 0:
		return Error.New("there is no shared secret, and the network is not trusted")
	case c.Sidecar == nil && c.Control == nil:
		return Error.New("the process has no role")
	case c.Lease.AnnounceInterval <= 0:
		return Error.New("the announcement interval is %s", c.Lease.AnnounceInterval)
	case c.Control != nil && c.Control.DataDir == "":
		return Error.New("the control replica has no data folder")
	case c.Control != nil && len(c.Control.InitialVoters) > 0 && slices.Contains(c.Control.InitialVoters, ""):
		return Error.New("a founder has no address")
	}
	for _, a := range append([]string{c.Peer}, c.Seeds...) {
		if _, _, err := net.SplitHostPort(a); err != nil {
			return Error.New("address %q: %v", a, err)
		}
	}
	return nil
}
