package fleetdaemon

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"bramleyquay.example/coord/fleet"
	"bramleyquay.example/coord/grant"
	"bramleyquay.example/coord/ranges"
	"bramleyquay.example/router/callconn"
	"bramleyquay.example/router/fleetagent"
	"bramleyquay.example/router/fleetnode"
	"bramleyquay.example/router/grantcall"
	"bramleyquay.example/router/httpclient"
	"bramleyquay.example/router/httpserver"
	"bramleyquay.example/router/leaderclient"
	"bramleyquay.example/router/logging"
	"bramleyquay.example/router/memory"
	"bramleyquay.example/router/peer"
	"bramleyquay.example/router/relay"
)

// Daemon is a process with the roles of a sidecar, of a control replica, or
// both.
type Daemon struct {
	cfg          Config
	log          logging.Logger
	client       *peer.Client
	leaders      *leaderclient.Client
	server       *peer.Server
	listener     *peer.Listener
	agent        *fleetagent.Agent
	replica      *fleetnode.Replica
	callerServer *httpserver.Server
	gateServer   *httpserver.Server
	// requestMemory is shared by the requests of callers and peers, callMemory by the
	// messages of processes and the calls of targets and operators, so that requests
	// do not delay these.
	requestMemory, callMemory *memory.Pool
	// connMemory is shared by the connections for calls of targets and operators.
	connMemory *memory.Pool
	stopping   atomic.Bool
	// runCtx ends when Run returns.
	runCtx    context.Context
	cancelRun context.CancelFunc
}

// New opens the listeners and the data directory. It returns an error if the
// configuration is invalid or something cannot be opened, and blocks while the
// disk of a control replica is full. After an error the process must end,
// because what was opened before stays open.
func New(cfg Config, logs *log.Logger) (*Daemon, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	logs.Context = log.NewContext(logs.Context).Str("process", cfg.Peer).Value()
	d := &Daemon{cfg: cfg, log: logging.ForComponent(logs, "daemon"), server: peer.NewServer()}
	d.openMemory()
	d.server.LimitMemory(d.callMemory)
	d.runCtx, d.cancelRun = context.WithCancel(context.Background())
	d.client = peer.NewClient(&peer.Dialer{Secret: cfg.Secret}, func(method string) {
		if method == fleetnode.MethodRenewNow && d.agent != nil {
			d.agent.RenewNow()
		}
	})
	d.client.LimitMemory(d.callMemory)
	d.leaders = leaderclient.New(d.client, cfg.Seeds)
	if cfg.Sidecar != nil {
		if err := d.openSidecar(logs); err != nil {
			return nil, err
		}
	}
	if cfg.Control != nil {
		if err := d.openControl(logs); err != nil {
			return nil, err
		}
	}
	l, err := peer.Listen(cmp.Or(cfg.ListenPeer, cfg.Peer), cfg.Secret, nil, logging.ForComponent(logs, "peer"), func(c net.Conn) {
		d.server.ServeConn(d.runCtx, c)
	})
	d.listener = l
	return d, err
}

// openSidecar creates the agent, the gate and the ingress, and opens their
// listeners.
func (d *Daemon) openSidecar(logs *log.Logger) error {
	sidecar := d.cfg.Sidecar
	agentConfig := fleetagent.Config{
		Process: d.cfg.Peer, DataCentre: sidecar.DataCentre, Service: sidecar.Service, Address: sidecar.Target,
		AnnounceInterval: d.cfg.Lease.AnnounceInterval, Lease: d.cfg.Lease.Duration(),
		Grant: grant.DefaultConfig(d.cfg.Lease.MaxHold, d.cfg.Lease.AnnounceInterval),
	}
	if sidecar.GrantFormat != nil {
		agentConfig.Request = &fleetagent.RequestConfig{
			Grant: grant.DefaultRequestConfig(d.cfg.Lease.Duration()), Caller: grantcall.New(sidecar.Target, *sidecar.GrantFormat),
		}
	}
	d.agent = fleetagent.New(agentConfig, d.leaders, logging.ForComponent(logs, "member"))
	target := httpclient.New(httpclient.Config{
		Address: sidecar.Target, RequestIDHeader: sidecar.HeaderNames.RequestID, DialTimeout: targetDialTimeout, IdleTimeout: targetIdleTimeout, MaxBody: maxAnswerBodyBytes,
		StallTimeout: targetStallTimeout,
	})
	gate := relay.NewGate(d.agent, sidecar.HeaderNames, target, logging.ForComponent(logs, "gate"))
	ingress := relay.NewIngress(relay.IngressConfig{Names: sidecar.HeaderNames, GateAddress: gateAddress(sidecar.Gate, sidecar.GatePort), Budget: sidecar.Budget},
		d.agent, gate, logging.ForComponent(logs, "ingress"))
	httpLog := logging.ForComponent(logs, "edge")
	d.callerServer = httpserver.New(ingress, d.callerLimits, httpLog)
	d.gateServer = httpserver.NewForPeers(httpserver.HandlerFunc(gate.ServePeer), d.peerLimits, httpLog)
	d.callerServer.LimitMemory(d.requestMemory)
	d.callerServer.SetRefusal(relay.RefuseCaller)
	d.gateServer.LimitMemory(d.requestMemory)
	d.gateServer.SetRefusal(gate.RefusePeer)
	metrics.GetOrCreateGauge("bramleyquay_target_connections_opened", func() float64 { return float64(target.ConnectionsOpened()) })
	if err := d.callerServer.Listen(sidecar.Caller); err != nil {
		return Error.Wrap(err)
	}
	if sidecar.Announce != "" {
		if err := d.listenAnnounce(sidecar.Announce); err != nil {
			return err
		}
	}
	return Error.Wrap(d.gateServer.Listen(sidecar.Gate))
}

const (
	// targetDialTimeout is the time limit for opening a connection to the
	// target, which is on the same machine.
	targetDialTimeout = 500 * time.Millisecond
	// targetIdleTimeout is the time for which an idle connection to the target
	// can be reused, unless the target's Keep-Alive header names a shorter one.
	targetIdleTimeout = 4 * time.Second
	// targetStallTimeout is the time for which the target may pause reading a long body.
	targetStallTimeout = 10 * time.Second
	// maxAnswerBodyBytes is the largest accepted body of a target's answer.
	maxAnswerBodyBytes = 64 << 20
)

// gateAddress returns a function that returns the gate address of another
// process: the host of its peer address with the common gate port. If common is
// zero, the port of own is the common one.
func gateAddress(own string, common int) func(string) string {
	_, port, _ := net.SplitHostPort(own) // an invalid address is reported by Listen
	if common != 0 {
		port = strconv.Itoa(common)
	}
	return func(process string) string {
		host, _, err := net.SplitHostPort(process)
		if err != nil {
			return process
		}
		return net.JoinHostPort(host, port)
	}
}

// callerLimits returns the limits for callers' requests from the document. The
// defaults apply to limits that the document does not set, and before the first
// document.
func (d *Daemon) callerLimits() httpserver.Limits {
	out := httpserver.DefaultLimits()
	t := d.agent.View().Routes
	if t == nil {
		return out
	}
	l := t.Document().Limits
	if l.HeaderBytes > 0 {
		out.HeaderBytes = l.HeaderBytes
	}
	if l.BodyBytes > 0 {
		out.BodyBytes = l.BodyBytes
	}
	if l.HeaderTimeout > 0 {
		out.HeaderTimeout = l.HeaderTimeout
	}
	if l.IdleTimeout > 0 {
		out.IdleTimeout = l.IdleTimeout
	}
	return out
}

// peerLimits returns the limits for requests of other processes. They accept what the
// ingresses accept from callers. The ingress may have another document, so that the defaults
// are the lower bound.
func (d *Daemon) peerLimits() httpserver.Limits {
	out, callers := httpserver.DefaultLimits(), d.callerLimits()
	head := max(out.HeaderBytes, callers.HeaderBytes)
	// The client writes a space before the value of each header: an empty header of a
	// caller, such as "A:" with its line end, becomes a quarter longer.
	out.HeaderBytes = head + head/4 + int64(relay.MaxHopHeaderBytes)
	out.BodyBytes = max(out.BodyBytes, callers.BodyBytes)
	return out
}

// openControl opens the control replica and registers its methods.
func (d *Daemon) openControl(logs *log.Logger) error {
	control := d.cfg.Control
	leader := fleet.DefaultConfig(d.cfg.Lease.Duration())
	if control.GrantsByRequest {
		leader.Ranges = ranges.RequestConfig()
	}
	replica, err := fleetnode.Open(fleetnode.Config{
		Address: d.cfg.Peer, Cluster: d.cfg.Cluster, DataDir: control.DataDir, InitialVoters: control.InitialVoters,
		Leader: leader, Group: fleet.DefaultMembershipConfig(control.ToleratedFailures),
		SnapshotEntries: fleetnode.DefaultSnapshotEntries, MaxChangeBytes: d.maxChangeBytes(), Memory: d.callMemory,
	}, d.client, d.leaders, logging.ForComponent(logs, "control"))
	if err != nil {
		return err
	}
	replica.Register(d.server)
	d.replica = replica
	return nil
}

// ServeCalls serves the calls of targets or operators at an address and blocks. If the
// listener fails, it logs the error and the process goes on without it.
func (d *Daemon) ServeCalls(address string, h http.Handler) {
	l, err := net.Listen("tcp", address)
	if err == nil {
		err = callconn.Serve(l, h, d.connMemory, d.log)
	}
	d.log.Error().Str("address", address).Err(err).Msg("calls are no longer accepted")
}

// Agent returns the agent of a sidecar process, or nil in other processes.
func (d *Daemon) Agent() *fleetagent.Agent { return d.agent }

// Replica returns the process's control replica, or nil if it has none.
func (d *Daemon) Replica() *fleetnode.Replica { return d.replica }

// Leaders returns the client of the control group.
func (d *Daemon) Leaders() *leaderclient.Client { return d.leaders }

// Ready reports whether callers should send requests to the process: it is not
// stopping and, if it is a sidecar, has a routing document.
func (d *Daemon) Ready() bool {
	return !d.stopping.Load() && (d.agent == nil || d.agent.View().Routes != nil)
}

// Run serves until stop ends, then drains requests in progress within
// StopTimeout. If the control replica has to stop before, Run returns its
// error at once and does not drain.
func (d *Daemon) Run(stop context.Context) error {
	d.log.Info().Str("cluster", d.cfg.Cluster).Str("peer", d.cfg.Peer).Strs("seeds", d.cfg.Seeds).Bool("control", d.replica != nil).
		Bool("beside", d.agent != nil).Bool("trustNetwork", d.cfg.TrustNetwork).Dur("lease", d.cfg.Lease.Duration()).Msg("process starts")
	run := d.runCtx
	defer d.client.Close()
	defer d.cancelRun()
	go d.listener.Serve(run)
	if d.cfg.Metrics != "" {
		go d.serveMetrics()
	}
	failed := make(chan error, 1)
	replicaDone := make(chan struct{})
	if d.replica != nil {
		go func() {
			defer close(replicaDone)
			if err := d.replica.Run(run); err != nil {
				failed <- err
			}
		}()
	}
	if d.agent != nil {
		go d.agent.Run(run)
		go d.callerServer.Run()
		go d.gateServer.Run()
	}
	select {
	case err := <-failed:
		return err
	case <-stop.Done():
	}
	d.stop()
	d.cancelRun()
	if d.replica != nil {
		<-replicaDone
	}
	d.log.Info().Msg("process stops")
	return nil
}

func (d *Daemon) serveMetrics() {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, false) })
	if err := http.ListenAndServe(d.cfg.Metrics, mux); err != nil {
		d.log.Error().Str("address", d.cfg.Metrics).Err(err).Msg("metrics are not served")
	}
}
