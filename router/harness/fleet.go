package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"bramleyquay.example/router/fleetsettings"
	"bramleyquay.example/router/relay"
)

// Ports of each process of a Fleet. Others dial FleetPeerPort and FleetGatePort and
// reach forwarders.
const (
	FleetPeerPort, FleetGatePort     = 7100, 7101
	FleetCallerPort, FleetTargetPort = 7080, 7200
	fleetOwnPeer, fleetOwnGate       = 7110, 7111
	fleetAnnounce                    = 7102
)

// FleetLayout describes a cluster that routes by document and grants ranges of
// keys.
type FleetLayout struct {
	Folder string
	// Daemon and Standin are the programs.
	Daemon, Standin string
	// Network is the first three numbers of the addresses of all processes;
	// different clusters on one machine need different ones.
	Network string
	// Replicas is the number of control replicas, of which Losses may be lost.
	Replicas, Losses int
	// Members names the service of each target; those in Keyed hold keys.
	Members, Keyed []string
	// Interval is the time between two announcements of a target.
	Interval, MaxHold, StopTimeout time.Duration
	ServiceTime                    time.Duration
}

// FleetNode is one process, the forwarders in front of it and, for a member,
// the stand-in target beside it.
type FleetNode struct {
	Name, IP, Service string
	// DataFolder is a control replica's.
	DataFolder string
	Daemon     *Process
	// Target is nil for control replicas.
	Target *Process
	Links  []*FaultProxy
	// RunLog lists the requests that the target began.
	RunLog string
}

// Address returns an address of the node.
func (n *FleetNode) Address(port int) string { return fmt.Sprintf("%s:%d", n.IP, port) }

// FleetRequest is a request of a caller.
type FleetRequest struct {
	Method, Host, Path, ID string
	Key                    int
	// Timeout is the time that the caller waits.
	Timeout time.Duration
	Body    io.Reader
}

// Request returns a request to the process of a member.
func (n *FleetNode) Request(ctx context.Context, r FleetRequest) (*http.Request, error) {
	out, err := http.NewRequestWithContext(ctx, r.Method, "http://"+n.Address(FleetCallerPort)+r.Path, r.Body)
	if err != nil {
		return nil, err
	}
	names := relay.DefaultHeaderNames
	out.Host = r.Host
	out.Header.Set(names.RequestID, r.ID)
	out.Header.Set(names.Key, strconv.Itoa(r.Key))
	out.Header.Set(names.DeadlineMs, strconv.FormatInt(r.Timeout.Milliseconds(), 10))
	return out, nil
}

// Fleet is a set of nodes.
type Fleet struct {
	Layout   FleetLayout
	Replicas []*FleetNode
	Members  []*FleetNode
	Secret   string
}

// replicaHost is the last number of the first replica's address; members start
// at 1.
const replicaHost = 200

// NewFleet writes the settings of a cluster and opens its forwarders. Nothing
// else is started.
func NewFleet(l FleetLayout) (*Fleet, error) {
	f := &Fleet{Layout: l, Secret: randomSecret()}
	for i := range l.Replicas {
		f.Replicas = append(f.Replicas, &FleetNode{Name: fmt.Sprintf("replica-%d", i), IP: fmt.Sprintf("%s.%d", l.Network, replicaHost+i)})
	}
	for i, service := range l.Members {
		f.Members = append(f.Members, &FleetNode{Name: fmt.Sprintf("member-%d", i), IP: fmt.Sprintf("%s.%d", l.Network, 1+i), Service: service})
	}
	if err := os.WriteFile(filepath.Join(l.Folder, "secret"), []byte(f.Secret), 0o600); err != nil {
		return nil, err
	}
	for _, n := range f.All() {
		if err := f.prepare(n); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// All returns the replicas and the members.
func (f *Fleet) All() []*FleetNode { return slices.Concat(f.Replicas, f.Members) }

// Seeds returns the peer addresses of the replicas.
func (f *Fleet) Seeds() []string {
	var out []string
	for _, r := range f.Replicas {
		out = append(out, r.Address(FleetPeerPort))
	}
	return out
}

func (f *Fleet) prepare(n *FleetNode) error {
	folder := filepath.Join(f.Layout.Folder, n.Name)
	if err := os.MkdirAll(filepath.Join(folder, "data"), 0o700); err != nil {
		return err
	}
	for from, to := range map[int]int{FleetPeerPort: fleetOwnPeer, FleetGatePort: fleetOwnGate} {
		link, err := NewFaultProxyAt(n.Address(from), n.Address(to))
		if err != nil {
			return err
		}
		n.Links = append(n.Links, link)
	}
	listen := fleetsettings.Listen{Peer: n.Address(fleetOwnPeer), GatePort: FleetGatePort}
	s := map[string]any{
		"cluster": "fleet", "secretFile": filepath.Join(f.Layout.Folder, "secret"), "peer": n.Address(FleetPeerPort), "seeds": f.Seeds(),
		"lease":             fleetsettings.Lease{AnnounceIntervalMs: f.Layout.Interval.Milliseconds(), MaxHoldMs: f.Layout.MaxHold.Milliseconds()},
		"shutdownTimeoutMs": f.Layout.StopTimeout.Milliseconds(),
	}
	if n.Service == "" {
		n.DataFolder = filepath.Join(folder, "data")
		s["control"] = fleetsettings.Control{DataFolder: n.DataFolder, ToleratedFailures: f.Layout.Losses}
	} else {
		listen.Caller, listen.Gate, listen.Target = n.Address(FleetCallerPort), n.Address(fleetOwnGate), n.Address(fleetAnnounce)
		s["target"] = fleetsettings.Target{DataCentre: "dc-" + n.Name, Service: n.Service, Address: n.Address(FleetTargetPort)}
		f.prepareTarget(n, folder)
	}
	s["listen"] = listen
	text, err := json.Marshal(s)
	if err != nil {
		return err
	}
	file := filepath.Join(folder, "settings")
	n.Daemon = newProcess(n.Name, f.Layout.Folder, f.Layout.Daemon, "fleet", "run", file)
	return os.WriteFile(file, text, 0o600)
}

func (f *Fleet) prepareTarget(n *FleetNode, folder string) {
	n.RunLog = filepath.Join(folder, "runs")
	args := []string{
		"--name=target-" + n.Name, "--service=" + n.Service, "--announce=" + n.Address(fleetAnnounce), "--listen=" + n.Address(FleetTargetPort),
		"--interval=" + f.Layout.Interval.String(), "--run-log=" + n.RunLog, "--service-time=" + f.Layout.ServiceTime.String(),
	}
	if slices.Contains(f.Layout.Keyed, n.Service) {
		args = append(args, "--keys")
	}
	n.Target = newProcess("target-"+n.Name, f.Layout.Folder, f.Layout.Standin, args...)
}

// Start starts everything for the first time: the replicas found the group.
func (f *Fleet) Start() error {
	for _, n := range f.All() {
		later := n.Daemon.args
		if n.Target == nil {
			n.Daemon.args = append(slices.Clone(later), "--found")
		}
		if err := n.Daemon.Start(); err != nil {
			return err
		}
		n.Daemon.args = later
		if n.Target == nil {
			continue
		}
		if err := n.Target.Start(); err != nil {
			return err
		}
	}
	return nil
}

// Stop ends every process that was started.
func (f *Fleet) Stop() {
	for _, n := range f.All() {
		if n.Target != nil {
			n.Target.Kill()
		}
		if n.Daemon != nil {
			n.Daemon.Kill()
		}
		for _, l := range n.Links {
			l.Close()
		}
	}
}
