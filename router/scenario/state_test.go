package scenario

import (
	"context"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"bramleyquay.example/router/harness"
)

// stateKey is the key of a script's state in the values of its environment.
type stateKey struct{}

// state is the cluster and load that one script has started.
type state struct {
	cluster          *harness.Cluster
	loads            map[string]*harness.Load
	holdsClusterSlot bool

	mu   sync.Mutex
	down map[string]bool
}

// waitTimeout bounds waits for conditions. It is long, so that a slow machine does
// not make a script fail.
const waitTimeout = 30 * time.Second

func stateOf(ts *testscript.TestScript) *state { return ts.Value(stateKey{}).(*state) }

func (s *state) stop() {
	for _, l := range s.loads {
		l.Stop()
	}
	if s.cluster != nil {
		s.cluster.Stop()
	}
	if s.holdsClusterSlot {
		<-clusterSlots
	}
}

// clusterSlots bounds the number of clusters that run at once: the scripts measure
// times, and each cluster has 25 processes.
var clusterSlots = make(chan struct{}, 2)

// start starts a Muscat cluster, applies its document and waits until all units are
// served. Its arguments are "slow" for requests that take longer than a move of a
// unit, and "unfenced" for targets that do not check fences. It sets BQ_SERVERS,
// BQ_SECRET_FILE and SECRET in the script's environment.
func (s *state) start(ts *testscript.TestScript, args []string) {
	clusterSlots <- struct{}{}
	s.holdsClusterSlot = true
	l := harness.MuscatLayout()
	l.Folder = ts.MkAbs("cluster")
	for i := range l.Services {
		if slices.Contains(args, "slow") {
			l.Services[i].TargetArgs = append(l.Services[i].TargetArgs, "--service-time=60ms")
		}
		l.Services[i].ChecksFences = l.Services[i].ChecksFences && !slices.Contains(args, "unfenced")
	}
	ts.Check(os.MkdirAll(l.Folder, 0o700))
	l.Template = filepath.Join(ts.Getenv("EXAMPLES"), "muscat", "process.hujson.tmpl")
	l.Daemon, l.Standin = findProgram(ts, "bramleyquay"), findProgram(ts, "standin")
	c, err := harness.New(l)
	ts.Check(err)
	s.cluster, s.down, s.loads = c, map[string]bool{}, map[string]*harness.Load{}
	ts.Check(c.Start())
	text, err := os.ReadFile(filepath.Join(ts.Getenv("EXAMPLES"), "muscat", "document.hujson"))
	ts.Check(err)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	reply, err := c.Apply(ctx, 0, "first", string(text))
	ts.Check(err)
	if reply.Revision != 1 {
		ts.Fatalf("document not accepted: %+v", reply)
	}
	ts.Check(c.AwaitServing(ctx))
	servers := ""
	for _, n := range c.Control {
		servers += n.Operator + ","
	}
	ts.Setenv("BQ_SERVERS", servers[:len(servers)-1])
	ts.Setenv("SECRET", c.Secret)
	ts.Setenv("BQ_SECRET_FILE", filepath.Join(l.Folder, "secret"))
}

// node returns the node with the given id, or the node of the control leader for the
// name "leader".
func (s *state) node(ts *testscript.TestScript, name string) *harness.Node {
	if name == "leader" {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		n, err := s.cluster.Leader(ctx)
		ts.Check(err)
		return n
	}
	for _, n := range s.cluster.All() {
		if n.ID == name {
			return n
		}
	}
	ts.Fatalf("no node is named %s", name)
	return nil
}

// setDown marks a process to which callers send no requests.
func (s *state) setDown(id string, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down[id] = down
}

// pickAddress returns the address for callers of a random process that is not down.
func (s *state) pickAddress(r *rand.Rand) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		n := s.cluster.Nodes[r.IntN(len(s.cluster.Nodes))]
		if !s.down[n.ID] {
			return n.Caller
		}
	}
}
