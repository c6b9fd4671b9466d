package controlnode

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/control"
	"bramleyquay.example/coord/raft"
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
	"bramleyquay.example/router/logging"
	"bramleyquay.example/router/peer"
	"bramleyquay.example/router/raftdriver"
	"bramleyquay.example/router/store"
	"bramleyquay.example/router/timesource"
)

// Replica is one control replica. All its state belongs to the goroutine of Run.
type Replica struct {
	cfg    Config
	client *peer.Client
	log    logging.Logger
	tasks  *raftdriver.TaskQueue
	failed chan error

	store      *store.Store
	raft       *raft.Node
	state      *control.State
	controller *control.Controller
	transport  *raftdriver.Transport
	work       *raftdriver.ReadyProcessor
	wakers     *raftdriver.Subscribers[table.MemberID]

	formation  formation
	opened     raft.PersistentState
	leading    bool
	lastTick   clock.Reading
	lastReview clock.Reading
	proposals  raftdriver.Proposals[control.Result]
	spread     spread
	gaps       *gaps
	// seen are the revisions that members were last woken for.
	seen  revisions
	woken clock.Reading
}

// revisions are the revisions that members follow.
type revisions struct{ table, config, directory uint64 }

// Open reads the replica's folder. A damaged folder is an error: the replica
// must not take part with less than it has promised.
func Open(cfg Config, client *peer.Client, log logging.Logger) (*Replica, error) {
	n := &Replica{
		cfg: cfg, client: client, log: log,
		tasks:      raftdriver.NewTaskQueue(),
		failed:     make(chan error, 1),
		state:      control.NewState(),
		controller: control.NewController(cfg.Controller, rand.New(rand.NewPCG(cfg.Seed, shard.Hash(cfg.ID)))),
		wakers:     raftdriver.NewSubscribers[table.MemberID](MethodRenewNow),
		proposals:  raftdriver.Proposals[control.Result]{},
	}
	n.transport = raftdriver.NewTransport(client, n.address, log)
	if err := n.open(); err != nil {
		return nil, err
	}
	return n, nil
}

func (n *Replica) open() error {
	fsys := store.DirFS(n.cfg.DataDir)
	st, stored, empty, err := store.Open(fsys)
	if err != nil {
		return err
	}
	n.store, n.opened = st, stored
	id, err := n.formation.load(n.cfg, fsys, empty)
	if err != nil || id == "" {
		return err
	}
	return n.start(id, stored)
}

// start begins to take part as replica id.
func (n *Replica) start(id raft.ID, stored raft.PersistentState) error {
	node, err := raft.New(raft.Config{
		ID: id, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks,
		KeepEntries: int(n.cfg.SnapshotEntries),
		Rand:        rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), shard.Hash(string(id)))),
	}, stored)
	if err != nil {
		return Error.Wrap(err)
	}
	if len(stored.Snapshot.Data) > 0 {
		if n.state, err = control.Restore(stored.Snapshot.Data); err != nil {
			return Error.Wrap(err)
		}
	}
	n.raft = node
	n.work = &raftdriver.ReadyProcessor{Store: n.store, Transport: n.transport, SnapshotEntries: n.cfg.SnapshotEntries, SnapshotIndex: stored.Snapshot.Index}
	n.lastTick = timesource.Now()
	n.log.Infof("replica %s starts at index %d, term %d", id, stored.Snapshot.Index+uint64(len(stored.Entries)), stored.HardState.Term)
	return nil
}

// Run runs the replica until ctx ends. It returns an error if the replica had
// to stop, for example because its disk failed.
func (n *Replica) Run(ctx context.Context) error {
	defer n.stop()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	go n.form(ctx)
	for {
		var event func()
		select {
		case <-ctx.Done():
			return n.store.Close()
		case err := <-n.failed:
			return err
		case <-ticker.C:
		case event = <-n.tasks.C():
		}
		// Time passes before the event is handled: after a pause of the process
		// a leader must notice that its time is over before it answers.
		n.passTime()
		if event != nil {
			event()
		}
		if err := n.process(); err != nil {
			n.log.Errorf("replica stops: %v", err)
			return err
		}
	}
}

func (n *Replica) stop() {
	n.tasks.Stop()
	n.transport.Close()
}

// do runs f on the replica's goroutine and waits for it.
func (n *Replica) do(ctx context.Context, f func()) error {
	return Error.Wrap(n.tasks.Do(ctx, f))
}

// passTime advances the log by the ticks that have passed.
func (n *Replica) passTime() {
	if n.raft == nil {
		return
	}
	now := timesource.Now()
	count, last := ticks(n.lastTick, now, n.raft.Status().Role == raft.Leader)
	if count == maxCatchUpTicks {
		n.log.Warnf("the process was paused for %s", now.Since(n.lastTick).Round(time.Millisecond))
	}
	n.lastTick = last
	for range count {
		n.raft.Tick()
	}
}

// serves reports whether this replica may answer as leader now.
func (n *Replica) serves() bool {
	if n.raft == nil {
		return false
	}
	st := n.raft.Status()
	return n.leading && st.QuorumActive && st.TermApplied
}

// notLeader is the answer of a replica that does not lead.
func (n *Replica) notLeader() error {
	e := &peer.NotLeaderError{}
	if n.raft != nil {
		if leader := n.raft.Status().Leader; leader != "" && leader != n.raft.Status().ID {
			e.Leader = n.address(leader)
			e.ID = NameOf(leader)
		}
	}
	return e
}

// NameOf returns a replica's name in the settings. A replica whose folder was
// lost returns under the id name.random.
func NameOf(id raft.ID) string {
	name, _, _ := strings.Cut(string(id), ".")
	return name
}

// address returns the peer address of a replica: from the settings by the name
// before the dot, or from the directory for replicas that were added later.
func (n *Replica) address(id raft.ID) string {
	name := NameOf(id)
	for _, p := range n.cfg.Peers {
		if p.ID == name {
			return p.Address
		}
	}
	for _, m := range n.state.Members() {
		if string(m.ID) == name {
			return m.PeerAddr
		}
	}
	return ""
}
