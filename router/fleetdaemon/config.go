// Package fleetdaemon builds and runs the processes of a cluster in fleet mode
// (routing document and key ranges): the sidecar processes, one for each
// target, and the control replicas. The program that embeds it defines the
// names of headers and the protocols of targets and operators.
package fleetdaemon

import (
	"net"
	"slices"
	"time"

	"github.com/zeebo/errs"

	"bramleyquay.example/coord/routes"
	"bramleyquay.example/router/grantcall"
	"bramleyquay.example/router/relay"
)

// Error is the class of this package's errors.
var Error = errs.Class("daemon")

// Config describes one process.
type Config struct {
	// Cluster must be equal in all processes that talk to each other.
	Cluster string
	// Peer is the address at which other processes reach this one; its port is
	// the same in all processes.
	Peer string
	// ListenPeer, if set, is the address to listen on instead of Peer, for a
	// process behind a port forwarder.
	ListenPeer string
	// TrustNetwork accepts peers without a shared secret. It is for networks
	// that no other machine can reach. Without it Secret is required.
	TrustNetwork bool
	// Secret is the secret that all processes of the cluster share.
	Secret []byte
	// Seeds are peer addresses of control replicas.
	Seeds []string
	// Metrics is the address on which metrics are served. If it is empty, they
	// are not served.
	Metrics string
	// StopTimeout is the time limit of a planned stop (the grace time). Requests in
	// progress are ended at its last sixth. If that begins before the end of
	// drainPeriod, a sidecar process stops accepting requests sooner.
	StopTimeout time.Duration
	// MemoryBytes is the memory limit of the process. The garbage collector is
	// set to stay below it, and requests, responses and messages share parts of it.
	// With zero the collector has no limit, and the parts are those of 2 GiB.
	MemoryBytes int64
	// Lease configures the leases on keys; it is equal in all processes.
	Lease LeaseConfig
	// Sidecar is set in a sidecar process.
	Sidecar *Sidecar
	// Control is set in a process with a control replica.
	Control *ControlConfig
}

// LeaseConfig configures how long a target may serve its keys while its process
// has no contact with control.
type LeaseConfig struct {
	// AnnounceInterval is the usual time between two announcements of a target.
	AnnounceInterval time.Duration
	// MaxHold is the longest duration of a grant that a target accepts. It must
	// be set in a sidecar process: with zero the process issues no grants. In a
	// control replica zero does not limit the lease.
	MaxHold time.Duration
}

const (
	// A lease lasts leaseIntervals announcement intervals plus leaseBase, so
	// that it outlasts two announcements and an election with the renewals
	// after it.
	leaseIntervals = 2
	leaseBase      = 3 * time.Second
	// maxHoldShare is the largest lease as a share of MaxHold. It keeps a lease
	// within the longest grant that a target accepts.
	maxHoldShare = 0.9
)

// Duration returns the duration of a lease.
func (l LeaseConfig) Duration() time.Duration {
	duration := leaseIntervals*l.AnnounceInterval + leaseBase
	if l.MaxHold > 0 {
		duration = min(duration, time.Duration(maxHoldShare*float64(l.MaxHold)))
	}
	return duration
}

// Sidecar configures a sidecar process: the process on the machine of a target
// through which all requests to the target pass.
type Sidecar struct {
	DataCentre string
	// Caller is the address for callers' requests. Gate is the address for
	// requests that peers forward; the port at which other processes reach the
	// gate is the same in all processes.
	Caller, Gate string
	// GatePort is that port if it is not the port of Gate, and zero otherwise.
	GatePort int
	// Announce is the address for the target's announcements over HTTP. If it is
	// empty, the program that embeds the daemon passes them to Agent.
	Announce string
	// Target and Service are the target's address and service.
	Target, Service string
	// GrantFormat, if set, is the format of the calls that grant key ranges to the
	// target. Otherwise they are granted in the answers to its announcements.
	GrantFormat *grantcall.Format
	HeaderNames relay.HeaderNames
	// Budget limits the retries of all processes together; the burst is divided
	// equally among them.
	Budget relay.RetryBudgetConfig
}

// ControlConfig configures a control replica.
type ControlConfig struct {
	DataDir string
	// InitialVoters are the peer addresses of the first voters. They are set at
	// the very first start only, with the same value on each of them: a replica
	// that has lost its data must not start with them, because it would vote
	// again under its old id.
	InitialVoters []string
	// ToleratedFailures is the number of voters that may fail at the same time;
	// the group has 2*ToleratedFailures+1 voters.
	ToleratedFailures int
	// GrantsByRequest is set if targets get their key ranges by calls to them. Each
	// range then costs calls of its own, and moves take no announcement.
	GrantsByRequest bool
}

// check returns an error with the first reason why the process cannot run.
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
		return Error.New("the control replica has no data directory")
	case c.Control != nil && len(c.Control.InitialVoters) > 0 && slices.Contains(c.Control.InitialVoters, ""):
		return Error.New("an initial voter has no address")
	}
	if c.Sidecar != nil {
		if reason := routes.CheckServiceName(c.Sidecar.Service); reason != "" {
			return Error.New("service %q: %s", c.Sidecar.Service, reason)
		}
	}
	for _, a := range append([]string{c.Peer}, c.Seeds...) {
		if _, _, err := net.SplitHostPort(a); err != nil {
			return Error.New("address %q: %v", a, err)
		}
	}
	return nil
}
