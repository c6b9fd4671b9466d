package fleetdaemon

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"bramleyquay.example/coord/fleet"
	"bramleyquay.example/coord/grant"
	"bramleyquay.example/router/fleetagent"
	"bramleyquay.example/router/fleetnode"
	"bramleyquay.example/router/httpclient"
	"bramleyquay.example/router/httpserver"
	"bramleyquay.example/router/leaderclient"
	"bramleyquay.example/router/logging"
	"bramleyquay.example/router/peer"
	"bramleyquay.example/router/relay"
)

// Daemon is one process.
type Daemon struct {
	cfg      Config
	log      logging.Logger
	client   *peer.Client
	leaders  *leaderclient.Client
	server   *peer.Server
	listener *peer.Listener
	agent    *fleetagent.Agent
	node     *fleetnode.Replica
	callers  *httpserver.Server
	gates    *httpserver.Server
	stopping atomic.Bool
	// life ends with Run.
	life context.Context
	end  context.CancelFunc
}

// memoryShare is the part of the memory limit at which the collector works
// harder; the rest is for stacks and unread bytes in sockets.
const memoryShare = 0.7

// New opens the listeners and the data folder.
func New(cfg Config, logs *log.Logger) (*Daemon, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	logs.Context = log.NewContext(logs.Context).Str("process", cfg.Peer).Value()
	if cfg.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(cfg.MemoryBytes)))
	}
	d := &Daemon{cfg: cfg, log: logging.ForComponent(logs, "daemon"), server: peer.NewServer()}
	d.life, d.end = context.WithCancel(context.Background())
	d.client = peer.NewClient(&peer.Dialer{Secret: cfg.Secret}, func(method string) {
		if method == fleetnode.MethodRenewNow && d.agent != nil {
			d.agent.RenewNow()
		}
	})
	d.leaders = leaderclient.New(d.client, cfg.Seeds)
	if cfg.Sidecar != nil {
		if err := d.openBeside(logs); err != nil {
			return nil, err
		}
	}
	if cfg.Control != nil {
		if err := d.openControl(logs); err != nil {
			return nil, err
		}
	}
	l, err := peer.Listen(cmp.Or(cfg.ListenPeer, cfg.Peer), cfg.Secret, nil, logging.ForComponent(logs, "peer"), func(c net.Conn) {
		d.server.ServeConn(d.life, c)
	})
	d.listener = l
	return d, err
}

func (d *Daemon) openBeside(logs *log.Logger) error {
	b := d.cfg.Sidecar
	d.agent = fleetagent.New(fleetagent.Config{
		Process: d.cfg.Peer, DataCentre: b.DataCentre, Service: b.Service, Address: b.Target,
		AnnounceInterval: d.cfg.Lease.AnnounceInterval, Grant: grant.DefaultConfig(d.cfg.Lease.MaxHold),
	}, d.leaders, logging.ForComponent(logs, "member"))
	target := httpclient.New(httpclient.Config{
		Address: b.Target, RequestIDHeader: b.HeaderNames.RequestID, DialTimeout: targetDialTimeout, IdleTimeout: targetIdle, MaxBody: maxBody,
	})
	gate := relay.NewGate(d.agent, b.HeaderNames, target, logging.ForComponent(logs, "gate"))
	ingress := relay.NewIngress(relay.IngressConfig{Names: b.HeaderNames, GateAddress: gateAddress(b.Gate, b.GatePort), Budget: b.Budget},
		d.agent, gate, logging.ForComponent(logs, "ingress"))
	edgeLog := logging.ForComponent(logs, "edge")
	d.callers = httpserver.New(ingress, d.callerLimits, edgeLog)
	d.gates = httpserver.New(httpserver.HandlerFunc(gate.ServePeer), httpserver.DefaultLimits, edgeLog)
	metrics.GetOrCreateGauge("bramleyquay_target_connections_opened", func() float64 { return float64(target.ConnectionsOpened()) })
	if err := d.callers.Listen(b.Caller); err != nil {
		return Error.Wrap(err)
	}
	if b.Announce != "" {
		if err := d.listenAnnounce(b.Announce); err != nil {
			return err
		}
	}
	return Error.Wrap(d.gates.Listen(b.Gate))
}

const (
	// targetDialTimeout bounds a connection to the target on the same machine.
	targetDialTimeout = 500 * time.Millisecond
	// targetIdle is the time for which an unused connection to the target is
	// kept if the target names no other.
	targetIdle = 4 * time.Second
	// maxBody bounds an answer's body in bytes.
	maxBody = 64 << 20
)

// gateAddress returns the addresses of the gates of other processes: their
// host with the common gate port, by default this process's.
func gateAddress(own string, common int) func(string) string {
	_, port, _ := net.SplitHostPort(own) // checked when it was listened on
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

// callerLimits are the document's limits, or defaults before the first.
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

func (d *Daemon) openControl(logs *log.Logger) error {
	c := d.cfg.Control
	node, err := fleetnode.Open(fleetnode.Config{
		Address: d.cfg.Peer, Cluster: d.cfg.Cluster, DataDir: c.DataDir, InitialVoters: c.InitialVoters,
		Leader: fleet.DefaultConfig(d.cfg.Lease.Duration()), Group: fleet.DefaultGroupConfig(c.ToleratedFailures),
		SnapshotEntries: fleetnode.DefaultSnapshotEntries,
	}, d.client, d.leaders, logging.ForComponent(logs, "control"))
	if err != nil {
		return err
	}
	node.Register(d.server)
	d.node = node
	return nil
}

// Agent returns the agent of a process beside a target, else nil.
func (d *Daemon) Agent() *fleetagent.Agent { return d.agent }

// Replica returns the process's control replica, else nil.
func (d *Daemon) Replica() *fleetnode.Replica { return d.node }

// Leaders returns the client of the control group.
func (d *Daemon) Leaders() *leaderclient.Client { return d.leaders }

// Ready reports whether callers should use the process.
func (d *Daemon) Ready() bool {
	return !d.stopping.Load() && (d.agent == nil || d.agent.View().Routes != nil)
}

// Run serves until stop ends, then stops in an orderly way. It returns an
// error if a part had to stop before.
func (d *Daemon) Run(stop context.Context) error {
	d.log.Info().Str("cluster", d.cfg.Cluster).Str("peer", d.cfg.Peer).Strs("seeds", d.cfg.Seeds).Bool("control", d.node != nil).
		Bool("beside", d.agent != nil).Bool("trustNetwork", d.cfg.TrustNetwork).Dur("lease", d.cfg.Lease.Duration()).Msg("process starts")
	run := d.life
	defer d.client.Close()
	defer d.end()
	go d.listener.Serve(run)
	if d.cfg.Metrics != "" {
		go d.serveMetrics()
	}
	failed := make(chan error, 1)
	nodeDone := make(chan struct{})
	if d.node != nil {
		go func() {
			defer close(nodeDone)
			if err := d.node.Run(run); err != nil {
				failed <- err
			}
		}()
	}
	if d.agent != nil {
		go d.agent.Run(run)
		go d.callers.Run()
		go d.gates.Run()
	}
	select {
	case err := <-failed:
		return err
	case <-stop.Done():
	}
	d.stop()
	d.end()
	if d.node != nil {
		<-nodeDone
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

const (
	// stopLinger is the time for which a stopping process takes requests of
	// callers who have not noticed yet. Requests that came later might not end
	// before the process does.
	stopLinger = 2200 * time.Millisecond
	// stopReserve is the part of StopTimeout that is left for the end.
	stopReserve = 900 * time.Millisecond
)

// stop ends the roles: callers are told, requests in progress end.
func (d *Daemon) stop() {
	d.stopping.Store(true)
	d.log.Info().Dur("timeout", d.cfg.StopTimeout).Msg("stop requested")
	ctx, cancel := context.WithTimeout(context.Background(), d.cfg.StopTimeout-stopReserve)
	defer cancel()
	if d.node != nil {
		if err := d.node.Transfer(ctx); err != nil {
			d.log.Warn().Err(err).Msg("leadership was not transferred")
		}
	}
	if d.agent == nil {
		return
	}
	d.agent.Leave()
	d.callers.Drain()
	d.gates.Drain()
	select {
	case <-time.After(stopLinger):
	case <-ctx.Done():
	}
	d.log.Info().Int("callers", d.callers.InFlight()).Int("peers", d.gates.InFlight()).Msg("no more requests are taken")
	var closing sync.WaitGroup
	closing.Go(func() { d.callers.Shutdown(ctx) })
	closing.Go(func() { d.gates.Shutdown(ctx) })
	closing.Wait()
	if left := d.callers.InFlight() + d.gates.InFlight(); left > 0 {
		d.log.Warn().Int("requests", left).Dur("timeout", d.cfg.StopTimeout).Msg("requests in progress are cut")
	}
}
