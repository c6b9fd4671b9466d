package harness

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync/atomic"
	"text/template"
)

// Node is one process of a Cluster and, for a sidecar process, its stand-in target.
type Node struct {
	ID, DataCentre, Service string
	// Addresses that the process listens on. Caller (callers' requests) and Platform
	// (announcements of the target) are empty for control replicas, Operator is empty
	// for sidecar processes.
	Caller, Peer, Platform, Operator, Admin string
	Daemon                                  *Process
	// Target is nil for control replicas.
	Target *Process
	// RunLog is the file in which the target lists the payments that it ran.
	RunLog string
	// controlProxies forward the node's connections to the control replicas.
	controlProxies []*FaultProxy
	// IntervalLog is the file in which the target lists when it ran requests for keys.
	IntervalLog string
}

// Cluster is a cluster with hashed shards: its nodes and their settings.
type Cluster struct {
	Layout  Layout
	Nodes   []*Node
	Control []*Node
	Secret  string
	tmpl    *template.Template
	// lastAnswered is the index of the control node that last answered an operator
	// request.
	lastAnswered atomic.Int64
}

// New writes the settings of a cluster into Layout.Folder, which must exist, creates
// the data folders of the control replicas and opens the proxies between sidecar
// processes and control replicas. It starts no process.
func New(l Layout) (*Cluster, error) {
	c := &Cluster{Layout: l, Secret: randomSecret()}
	var err error
	if c.tmpl, err = template.ParseFiles(l.Template); err != nil {
		return nil, err
	}
	if err := os.WriteFile(c.secretFile(), []byte(c.Secret), 0o600); err != nil {
		return nil, err
	}
	if err := c.assignAddresses(); err != nil {
		return nil, err
	}
	for _, n := range c.All() {
		if err := c.prepare(n); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func randomSecret() string {
	var b [16]byte
	_, _ = rand.Read(b[:]) // never fails, by its documentation
	return hex.EncodeToString(b[:])
}

func (c *Cluster) secretFile() string { return filepath.Join(c.Layout.Folder, "secret") }

// assignAddresses creates the nodes with their ids and addresses.
func (c *Cluster) assignAddresses() error {
	ports, err := freePorts(5 * (c.Layout.Replicas + c.targetCount()))
	if err != nil {
		return err
	}
	next := func() string {
		addr := ports[0]
		ports = ports[1:]
		return addr
	}
	for i := range c.Layout.Replicas {
		c.Control = append(c.Control, &Node{
			ID: fmt.Sprintf("control-%d", i+1), DataCentre: c.dataCentre(i), Peer: next(), Operator: next(), Admin: next(),
		})
	}
	index := 0
	for _, s := range c.Layout.Services {
		for i := range s.Targets {
			id := fmt.Sprintf("%s-%d", s.Name, i+1)
			c.Nodes = append(c.Nodes, &Node{
				ID: id, DataCentre: c.dataCentre(index), Service: s.Name, Caller: next(), Peer: next(), Platform: next(), Admin: next(),
				RunLog:      filepath.Join(c.Layout.Folder, id+".runs"),
				IntervalLog: filepath.Join(c.Layout.Folder, id+".intervals"),
			})
			index++
		}
	}
	return nil
}

func (c *Cluster) targetCount() int {
	n := 0
	for _, s := range c.Layout.Services {
		n += s.Targets
	}
	return n
}

func (c *Cluster) dataCentre(i int) string {
	return c.Layout.DataCentres[i%len(c.Layout.DataCentres)]
}

// Ports are taken from below the range that the kernel uses for outgoing
// connections. Otherwise an outgoing connection could take a port between its
// choice here and its use.
const (
	firstPort = 12_000
	lastPort  = 32_000
)

// nextPort counts through the ports, so that clusters of one test process never
// choose the same one. It starts at a different port in each test process.
var nextPort atomic.Uint32

func init() { nextPort.Store(uint32(os.Getpid()*97) % (lastPort - firstPort)) }

// freePorts returns n loopback addresses on which no process listens.
func freePorts(n int) ([]string, error) {
	addrs := make([]string, 0, n)
	for tries := 0; len(addrs) < n; tries++ {
		if tries > lastPort-firstPort {
			return nil, errors.New("there are not enough free ports")
		}
		port := firstPort + nextPort.Add(1)%(lastPort-firstPort)
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		addrs = append(addrs, l.Addr().String())
		_ = l.Close() // only the number was needed
	}
	return addrs, nil
}

// templateValues is the data of the settings template.
type templateValues struct {
	Node
	SecretFile, DataFolder, LogLevel string
	Control                          []replica
	Target, ChecksFences             bool
}

type replica struct{ ID, Address string }

// prepare opens the proxies between a sidecar process and the control replicas, writes
// the node's settings file and sets its Daemon and Target.
func (c *Cluster) prepare(n *Node) error {
	v := templateValues{Node: *n, SecretFile: c.secretFile(), LogLevel: c.Layout.LogLevel, Target: n.Service != ""}
	s := c.service(n.Service)
	for _, r := range c.Control {
		addr := r.Peer
		if s != nil {
			proxy, err := NewFaultProxy(r.Peer)
			if err != nil {
				return err
			}
			n.controlProxies, addr = append(n.controlProxies, proxy), proxy.Addr()
		}
		v.Control = append(v.Control, replica{ID: r.ID, Address: addr})
	}
	if s != nil {
		v.ChecksFences = s.ChecksFences
	} else {
		v.DataFolder = c.DataFolder(n)
		if err := os.MkdirAll(v.DataFolder, 0o700); err != nil {
			return err
		}
	}
	file := filepath.Join(c.Layout.Folder, n.ID+".hujson")
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	if err := c.tmpl.Execute(f, v); err != nil {
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	n.Daemon = newProcess(n.ID, c.Layout.Folder, c.Layout.Daemon, "run", file)
	if s != nil {
		n.Target = newProcess(n.ID+"-target", c.Layout.Folder, c.Layout.Standin, standinArgs(s, n)...)
	}
	return nil
}

func standinArgs(s *Service, n *Node) []string {
	args := append([]string{"--service=" + s.Name, "--platform=" + n.Platform, "--run-log=" + n.RunLog, "--interval-log=" + n.IntervalLog}, s.TargetArgs...)
	if s.ChecksFences {
		args = append(args, "--checks-fences")
	}
	return args
}

// DataFolder returns the data folder of a control replica.
func (c *Cluster) DataFolder(n *Node) string { return filepath.Join(c.Layout.Folder, "data-"+n.ID) }

func (c *Cluster) service(name string) *Service {
	for i := range c.Layout.Services {
		if c.Layout.Services[i].Name == name {
			return &c.Layout.Services[i]
		}
	}
	return nil
}

// All returns the control nodes, followed by the nodes with targets.
func (c *Cluster) All() []*Node { return slices.Concat(c.Control, c.Nodes) }

// NodesOf returns the nodes of a service.
func (c *Cluster) NodesOf(service string) []*Node {
	var list []*Node
	for _, n := range c.Nodes {
		if n.Service == service {
			list = append(list, n)
		}
	}
	return list
}

// Start starts every process.
func (c *Cluster) Start() error {
	for _, n := range c.All() {
		if err := n.Start(); err != nil {
			return err
		}
	}
	return nil
}

// Start starts those of the node's processes that are not running.
func (n *Node) Start() error {
	if err := n.Daemon.Start(); err != nil {
		return err
	}
	if n.Target == nil {
		return nil
	}
	return n.Target.Start()
}

// CutControl drops what the node sends to the control replicas (sent), what they
// send to it (received), or both, on the connections that the node opens. It has no
// effect on control replicas.
func (n *Node) CutControl(sent, received bool) {
	for _, p := range n.controlProxies {
		p.Cut(sent, received)
	}
}

// HealControl ends the cut made by CutControl.
func (n *Node) HealControl() {
	for _, p := range n.controlProxies {
		p.Heal()
	}
}

// Stop kills every process and closes the proxies.
func (c *Cluster) Stop() {
	for _, n := range c.All() {
		n.Daemon.Kill()
		if n.Target != nil {
			n.Target.Kill()
		}
		for _, p := range n.controlProxies {
			p.Close()
		}
	}
}
