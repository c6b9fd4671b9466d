// Package daemon builds and runs one process of a cluster with hashed shards
// (coord/control), and has the command line of both modes.
package daemon

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	plog "github.com/phuslu/log"
	"github.com/zeebo/errs"

	"bramleyquay.example/coord/control"
	"bramleyquay.example/coord/hotkey"
	"bramleyquay.example/coord/lease"
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
	"bramleyquay.example/router/call"
	"bramleyquay.example/router/controlnode"
	"bramleyquay.example/router/gate"
	"bramleyquay.example/router/ingress"
	"bramleyquay.example/router/logging"
	"bramleyquay.example/router/member"
	"bramleyquay.example/router/peer"
	"bramleyquay.example/router/settings"
)

// Error is the class of this package's errors.
var Error = errs.Class("daemon")

// Daemon is one process of a cluster with hashed shards.
type Daemon struct {
	cfg     *settings.Settings
	version string
	started time.Time
	logs    *plog.Logger
	log     logging.Logger

	dialer  *peer.Dialer
	client  *peer.Client
	rpc     *peer.Server
	agent   *member.Agent
	gate    *gate.Gate
	ingress *ingress.Ingress
	control *controlnode.Replica // nil without the control role
	// requests ends those in progress when the process stops.
	requests *call.Stopper

	peers     *peer.Listener
	listeners map[string]net.Listener
	mu        sync.Mutex // guards servers, to which serveCallers adds during Run
	servers   []*http.Server
	// failed receives the errors of the listeners and of the control replica. It
	// is buffered for all of them, because Run reads only the first.
	failed chan error
	tls    *tls.Config
}

// New opens the listeners and builds the components. They start in Run.
func New(cfg *settings.Settings, logs *plog.Logger, version string) (*Daemon, error) {
	d := &Daemon{
		cfg: cfg, version: version, started: time.Now(), logs: logs,
		log:       logging.ForComponent(logs, "daemon"),
		rpc:       peer.NewServer(),
		requests:  call.NewStopper(),
		listeners: map[string]net.Listener{},
		failed:    make(chan error, 8),
	}
	if err := d.openTLS(); err != nil {
		return nil, err
	}
	if err := d.listen(); err != nil {
		d.closeListeners()
		return nil, err
	}
	if err := d.build(); err != nil {
		d.closeListeners()
		return nil, err
	}
	return d, nil
}

// listen opens all configured listeners before anything runs, so that the ports
// are known and address conflicts fail the start.
func (d *Daemon) listen() error {
	l := d.cfg.Listen
	for name, addr := range map[string]string{"caller": l.Caller, "platform": l.Platform, "operator": l.Operator, "admin": l.Admin} {
		if addr == "" {
			continue
		}
		inner, err := net.Listen("tcp", addr)
		if err != nil {
			return Error.New("listen.%s: %v", name, err)
		}
		d.listeners[name] = inner
		d.log.Infof("%s listener on %s", name, inner.Addr())
	}
	var err error
	d.peers, err = peer.Listen(l.Peer, d.cfg.Secret.Bytes(), d.serverTLS(), logging.ForComponent(d.logs, "peer"), func(conn net.Conn) {
		d.rpc.ServeConn(context.Background(), conn)
	})
	if err != nil {
		return Error.New("listen.peer: %v", err)
	}
	d.log.Infof("peer listener on %s", d.peers.Addr())
	return nil
}

func (d *Daemon) closeListeners() {
	for _, l := range d.listeners {
		_ = l.Close() // the process ends
	}
	if d.peers != nil {
		_ = d.peers.Close() // the process ends
	}
}

func (d *Daemon) build() error {
	id := table.MemberID(d.cfg.ID)
	d.dialer = &peer.Dialer{Secret: d.cfg.Secret.Bytes(), TLS: d.clientTLS()}
	d.client = peer.NewClient(d.dialer, d.handleNotification)
	d.agent = member.New(member.Config{
		ID: id, DataCentre: d.cfg.DataCentre, PeerAddr: d.peers.Addr().String(),
		Control: d.controlPeers(), Lease: lease.Default(), RenewTimeout: member.DefaultRenewTimeout,
	}, d.client, logging.ForComponent(d.logs, "member"), func(v *member.View) { d.gate.ApplyView(v) })
	d.gate = gate.New(gate.Config{
		Self: id, DataCentre: d.cfg.DataCentre, RequireFences: d.cfg.Target.ChecksFences,
		MaxPaymentBody: gate.DefaultMaxPaymentBody, MaxRecordedBody: gate.DefaultMaxRecordedBody,
		AnnounceTimeout: gate.DefaultAnnounceTimeout, Stopper: d.requests,
	}, d.agent, d.client, logging.ForComponent(d.logs, "gate"))
	d.agent.SetReporter(d.gate)
	d.ingress = ingress.New(ingress.Config{
		Self: id, DataCentre: d.cfg.DataCentre, MaxWaiting: ingress.DefaultMaxWaiting, Seed: shard.Hash(d.cfg.ID), Stopper: d.requests,
	}, d.agent, d.gate, ingress.NewForwarder(d.dialer), logging.ForComponent(d.logs, "ingress"))
	d.rpc.Handle(gate.MethodWriteRecords, peer.Bind(d.gate.WriteRecords))
	d.rpc.Handle(gate.MethodFetchRecords, peer.Bind(d.gate.FetchRecords))
	d.rpc.Handle(MethodDump, peer.Bind(d.dumpRPC))
	return d.buildControl()
}

func (d *Daemon) buildControl() error {
	if !d.cfg.Control.Replica {
		return nil
	}
	cfg := controlnode.Config{
		ID: d.cfg.ID, Cluster: d.cfg.Cluster, DataDir: d.cfg.Control.DataFolder,
		Bootstrap: d.cfg.Control.Bootstrap, Lease: lease.Default(),
		Controller: controllerConfig(), SnapshotEntries: controlnode.DefaultSnapshotEntries, Seed: uint64(time.Now().UnixNano()),
	}
	for _, p := range d.cfg.Control.Peers {
		cfg.Peers = append(cfg.Peers, controlnode.ControlReplica{ID: p.ID, Address: p.Address})
	}
	var err error
	d.control, err = controlnode.Open(cfg, d.client, logging.ForComponent(d.logs, "control"))
	if err != nil {
		return err
	}
	d.control.Register(d.rpc)
	d.registerOperatorRPC()
	return nil
}

func controllerConfig() control.Config {
	cfg := control.DefaultConfig()
	cfg.HotKeys = control.NewHotKeySplitter(hotkey.DefaultConfig())
	return cfg
}

func (d *Daemon) controlPeers() []member.ControlReplica {
	peers := make([]member.ControlReplica, 0, len(d.cfg.Control.Peers))
	for _, p := range d.cfg.Control.Peers {
		peers = append(peers, member.ControlReplica{ID: p.ID, Address: p.Address})
	}
	return peers
}

func (d *Daemon) controlAddrs() []string {
	addrs := make([]string, 0, len(d.cfg.Control.Peers))
	for _, p := range d.cfg.Control.Peers {
		addrs = append(addrs, p.Address)
	}
	return addrs
}

func (d *Daemon) handleNotification(method string) {
	if method == controlnode.MethodRenewNow {
		d.agent.RenewNow()
	}
}

// Run starts the components and blocks until the process has stopped. Cancelling
// stop starts a graceful shutdown; cancelling kill stops the process at once. Run
// returns nil after a graceful shutdown in which all requests in progress have
// ended, even if units could not be moved away in time.
func (d *Daemon) Run(stop, kill context.Context) error {
	ctx, cancel := context.WithCancel(kill)
	defer cancel()
	d.start(ctx)
	select {
	case <-stop.Done():
		return d.shutdown(kill)
	case err := <-d.failed:
		d.closeListeners()
		return err
	case <-kill.Done():
		d.closeListeners()
		return Error.New("stopped without a graceful shutdown")
	}
}

func (d *Daemon) start(ctx context.Context) {
	go d.peers.Serve(ctx)
	if d.control != nil {
		go func() {
			if err := d.control.Run(ctx); err != nil {
				d.failed <- err
			}
		}()
	}
	go d.agent.Run(ctx)
	go d.gate.Run(ctx)
	go d.gate.RunGrants(ctx)
	d.serve("peer", d.peers.HTTP(), d.gate)
	go d.serveCallers(ctx)
	d.serveOn("platform", d.platformHandler())
	d.serveOn("admin", d.adminHandler())
	d.serveOperator()
}

func (d *Daemon) serveOn(name string, h http.Handler) {
	if l := d.listeners[name]; l != nil {
		d.serve(name, l, h)
	}
}

// maxReadyWait bounds how long callers' connections wait in the listener's backlog
// for the first configuration. Afterwards they are accepted, and requests without
// a configuration are refused with a reason.
const maxReadyWait = 5 * time.Second

// serveCallers accepts callers' connections once the configuration has arrived,
// because before that all requests would be refused. It waits at most
// maxReadyWait.
func (d *Daemon) serveCallers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maxReadyWait)
	defer cancel()
	for d.Healthy() != nil && pause(ctx, readyPoll) {
	}
	d.serveOn("caller", d.ingress)
}

// readyPoll is the interval at which serveCallers checks whether callers can be
// served.
const readyPoll = 5 * time.Millisecond

const (
	// headerTimeout bounds the time for reading the headers of a request. It ends
	// connections of slow senders.
	headerTimeout = 5 * time.Second
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds the headers of one request, which are held in memory.
	maxHeaderBytes = 32 << 10
	// peerHeaderBytes is larger, because the ingress adds headers to those of the
	// caller.
	peerHeaderBytes = 2 * maxHeaderBytes
	// writeTimeout bounds the time for responses whose handler sets no write
	// deadline.
	writeTimeout = 30 * time.Second
)

func (d *Daemon) serve(name string, l net.Listener, h http.Handler) {
	limit := maxHeaderBytes
	if name == "peer" {
		limit = peerHeaderBytes
	}
	s := &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: limit,
		WriteTimeout: writeTimeout,
		ErrorLog:     httpErrorLog(logging.ForComponent(d.logs, name)),
	}
	d.run(name, s, l)
}

func (d *Daemon) run(name string, s *http.Server, l net.Listener) {
	d.mu.Lock()
	d.servers = append(d.servers, s)
	d.mu.Unlock()
	go func() {
		if err := s.Serve(l); err != nil && err != http.ErrServerClosed {
			d.failed <- fmt.Errorf("%s listener: %w", name, err)
		}
	}()
}
