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

// Node is one process of the system and the stand-in target beside it.
type Node struct {
	ID, DataCentre, Service                 string
	Caller, Peer, Platform, Operator, Admin string
	Daemon                                  *Process
	// Target is nil for control-only processes.
	Target *Process
	// RunLog lists the payments that the target ran.
	RunLog string
	// links carry the node's connections to the control replicas.
	links []*FaultProxy
	// IntervalLog lists when the target ran requests for keys.
	IntervalLog string
}

// Cluster is a set of running nodes.
type Cluster struct {
	Layout  Layout
	Nodes   []*Node
	Control []*Node
	Secret  string
	tmpl    *template.Template
	// answered is the control node that answered operators last.
	answered atomic.Int64
}

// New writes the settings of a cluster. Nothing is started.
func New(l Layout) (*Cluster, error) {
	c := &Cluster{Layout: l, Secret: randomSecret()}
	var err error
	if c.tmpl, err = template.ParseFiles(l.Template); err != nil {
		return nil, err
	}
	if err := os.WriteFile(c.secretFile(), []byte(c.Secret), 0o600); err != nil {
		return nil, err
	}
	if err := c.place(); err != nil {
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

// place names the nodes and gives them ports.
func (c *Cluster) place() error {
	ports, err := freePorts(5 * (c.Layout.Replicas + c.targets()))
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
	at := 0
	for _, s := range c.Layout.Services {
		for i := range s.Targets {
			id := fmt.Sprintf("%s-%d", s.Name, i+1)
			c.Nodes = append(c.Nodes, &Node{
				ID: id, DataCentre: c.dataCentre(at), Service: s.Name, Caller: next(), Peer: next(), Platform: next(), Admin: next(),
				RunLog:      filepath.Join(c.Layout.Folder, id+".runs"),
				IntervalLog: filepath.Join(c.Layout.Folder, id+".intervals"),
			})
			at++
		}
	}
	return nil
}

func (c *Cluster) targets() int {
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
// connections, because one of those could take a port between its choice here
// and its use.
const (
	firstPort = 12_000
	lastPort  = 32_000
)

// nextPort goes through the ports, so that clusters of one process never
// choose the same; the start differs between processes.
var nextPort atomic.Uint32

func init() { nextPort.Store(uint32(os.Getpid()*97) % (lastPort - firstPort)) }

// freePorts returns loopback addresses that nothing listens on.
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

// values fill the settings template.
type values struct {
	Node
	SecretFile, DataFolder, LogLevel string
	Control                          []replica
	Target, ChecksFences             bool
}

type replica struct{ ID, Address string }

// prepare writes a node's settings and describes its processes.
func (c *Cluster) prepare(n *Node) error {
	v := values{Node: *n, SecretFile: c.secretFile(), LogLevel: c.Layout.LogLevel, Target: n.Service != ""}
	s := c.service(n.Service)
	for _, r := range c.Control {
		addr := r.Peer
		if s != nil {
			link, err := NewFaultProxy(r.Peer)
			if err != nil {
				return err
			}
			n.links, addr = append(n.links, link), link.Addr()
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

// DataFolder returns the folder of a control replica.
func (c *Cluster) DataFolder(n *Node) string { return filepath.Join(c.Layout.Folder, "data-"+n.ID) }

func (c *Cluster) service(name string) *Service {
	for i := range c.Layout.Services {
		if c.Layout.Services[i].Name == name {
			return &c.Layout.Services[i]
		}
	}
	return nil
}

// All returns the control nodes and then the others.
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

// Start starts a node's processes that do not run.
func (n *Node) Start() error {
	if err := n.Daemon.Start(); err != nil {
		return err
	}
	if n.Target == nil {
		return nil
	}
	return n.Target.Start()
}

// CutControl loses what the node sends to the control replicas, what they send
// to it, or both.
func (n *Node) CutControl(there, back bool) {
	for _, l := range n.links {
		l.Cut(there, back)
	}
}

// HealControl ends CutControl.
func (n *Node) HealControl() {
	for _, l := range n.links {
		l.Heal()
	}
}

// Stop kills every process that still runs.
func (c *Cluster) Stop() {
	for _, n := range c.All() {
		n.Daemon.Kill()
		if n.Target != nil {
			n.Target.Kill()
		}
		for _, l := range n.links {
			l.Close()
		}
	}
}
