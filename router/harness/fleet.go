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

// Ports of each process of a Fleet. FaultProxies listen on FleetPeerPort and
// FleetGatePort, which other processes dial, and forward to the ports that the
// process itself listens on. FleetCallerPort is the port of a member's ingress,
// FleetTargetPort that of its target, and fleetAnnouncePort the one at which the
// sidecar process accepts the target's announcements.
const (
	FleetPeerPort, FleetGatePort             = 7100, 7101
	FleetCallerPort, FleetTargetPort         = 7080, 7200
	fleetPeerListenPort, fleetGateListenPort = 7110, 7111
	fleetAnnouncePort                        = 7102
)

// FleetLayout describes a cluster in fleet mode: with a routing document and key
// ranges.
type FleetLayout struct {
	// Folder is where settings, logs and data are stored. It must exist.
	Folder string
	// Daemon and Standin are the paths of the programs.
	Daemon, Standin string
	// Network is the first three numbers of the IPv4 addresses of all processes,
	// such as 127.9.9. Clusters on one machine need different networks.
	Network string
	// Replicas is the number of control replicas; ToleratedFailures of them may
	// be lost.
	Replicas, ToleratedFailures int
	// MemberServices lists the service of each member's target. Targets of the
	// services in KeyedServices own key ranges.
	MemberServices, KeyedServices []string
	// AnnounceInterval is the time between two announcements of a target,
	// MaxGrantTime the longest validity of a grant, and ShutdownTimeout the time
	// for a graceful shutdown.
	AnnounceInterval, MaxGrantTime, ShutdownTimeout time.Duration
	// GrantsByRequest grants key ranges by calls to the targets, of which a share
	// LateGrants is applied late and gets no answer.
	GrantsByRequest bool
	LateGrants      float64
	// LateCopies is the share of the targets' answers that are sent a second time.
	LateCopies float64
	// ServiceTime is the mean service time of a request.
	ServiceTime time.Duration
}

// FleetNode is one process, the proxies in front of it and, for a member, its
// stand-in target.
type FleetNode struct {
	Name, IP, Service string
	// DataFolder is set for control replicas only.
	DataFolder string
	Daemon     *Process
	// Target is nil for control replicas.
	Target  *Process
	Proxies []*FaultProxy
	// RunLog is the file in which the target lists the requests that it began.
	RunLog string
}

// Address returns the node's address with a port.
func (n *FleetNode) Address(port int) string { return fmt.Sprintf("%s:%d", n.IP, port) }

// FleetRequest describes a request of a caller.
type FleetRequest struct {
	Method, Host, Path, ID string
	Key                    int
	// Timeout is the time until the deadline, which the request carries in a header.
	// It does not bound the HTTP call.
	Timeout time.Duration
	Body    io.Reader
}

// Request returns the request to send to a member's ingress.
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

// Fleet is a cluster in fleet mode.
type Fleet struct {
	Layout   FleetLayout
	Replicas []*FleetNode
	Members  []*FleetNode
	Secret   string
}

// firstReplicaHost is the last number of the first replica's IP address; those of
// members start at 1.
const firstReplicaHost = 200

// NewFleet writes the settings of a cluster and opens its proxies. It starts no
// process.
func NewFleet(l FleetLayout) (*Fleet, error) {
	f := &Fleet{Layout: l, Secret: randomSecret()}
	for i := range l.Replicas {
		f.Replicas = append(f.Replicas, &FleetNode{Name: fmt.Sprintf("replica-%d", i), IP: fmt.Sprintf("%s.%d", l.Network, firstReplicaHost+i)})
	}
	for i, service := range l.MemberServices {
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
	for proxyPort, ownPort := range map[int]int{FleetPeerPort: fleetPeerListenPort, FleetGatePort: fleetGateListenPort} {
		proxy, err := NewFaultProxyAt(n.Address(proxyPort), n.Address(ownPort))
		if err != nil {
			return err
		}
		n.Proxies = append(n.Proxies, proxy)
	}
	listen := fleetsettings.Listen{Peer: n.Address(fleetPeerListenPort), GatePort: FleetGatePort}
	s := map[string]any{
		"cluster": "fleet", "secretFile": filepath.Join(f.Layout.Folder, "secret"), "peer": n.Address(FleetPeerPort), "seeds": f.Seeds(),
		"lease":             f.lease(),
		"shutdownTimeoutMs": f.Layout.ShutdownTimeout.Milliseconds(),
	}
	if n.Service == "" {
		n.DataFolder = filepath.Join(folder, "data")
		s["control"] = fleetsettings.Control{DataFolder: n.DataFolder, ToleratedFailures: f.Layout.ToleratedFailures}
	} else {
		listen.Caller, listen.Gate, listen.Target = n.Address(FleetCallerPort), n.Address(fleetGateListenPort), n.Address(fleetAnnouncePort)
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

func (f *Fleet) lease() fleetsettings.Lease {
	grants := fleetsettings.GrantsByAnnouncement
	if f.Layout.GrantsByRequest {
		grants = fleetsettings.GrantsByRequest
	}
	return fleetsettings.Lease{
		AnnounceIntervalMs: f.Layout.AnnounceInterval.Milliseconds(), MaxHoldMs: f.Layout.MaxGrantTime.Milliseconds(), Grants: grants,
	}
}

func (f *Fleet) prepareTarget(n *FleetNode, folder string) {
	n.RunLog = filepath.Join(folder, "runs")
	args := []string{
		"--name=target-" + n.Name, "--service=" + n.Service, "--announce=" + n.Address(fleetAnnouncePort), "--listen=" + n.Address(FleetTargetPort),
		"--interval=" + f.Layout.AnnounceInterval.String(), "--run-log=" + n.RunLog, "--service-time=" + f.Layout.ServiceTime.String(),
	}
	if slices.Contains(f.Layout.KeyedServices, n.Service) {
		args = append(args, "--keys")
	}
	if f.Layout.GrantsByRequest {
		args = append(args, "--grants-by-request", fmt.Sprintf("--late-grants=%g", f.Layout.LateGrants))
	}
	if f.Layout.LateCopies > 0 {
		args = append(args, fmt.Sprintf("--late-copies=%g", f.Layout.LateCopies))
	}
	n.Target = newProcess("target-"+n.Name, f.Layout.Folder, f.Layout.Standin, args...)
}

// Start starts all processes for the first time: the replicas bootstrap the
// control group.
func (f *Fleet) Start() error {
	for _, n := range f.All() {
		restartArgs := n.Daemon.args
		if n.Target == nil {
			n.Daemon.args = append(slices.Clone(restartArgs), "--found")
		}
		if err := n.Daemon.Start(); err != nil {
			return err
		}
		n.Daemon.args = restartArgs
		if n.Target == nil {
			continue
		}
		if err := n.Target.Start(); err != nil {
			return err
		}
	}
	return nil
}

// Stop kills every process and closes the proxies.
func (f *Fleet) Stop() {
	for _, n := range f.All() {
		if n.Target != nil {
			n.Target.Kill()
		}
		if n.Daemon != nil {
			n.Daemon.Kill()
		}
		for _, p := range n.Proxies {
			p.Close()
		}
	}
}
