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

// Replica is one control replica. All its state belongs to the goroutine of
// Run, which must be called once. Its other exported methods are safe for
// concurrent use; those with a context wait for that goroutine, also before
// Run is called, until ctx ends.
type Replica struct {
	cfg    Config
	client *peer.Client
	log    logging.Logger
	tasks  *raftdriver.TaskQueue
	failed chan error

	store          *store.Store
	raft           *raft.Node
	state          *control.State
	controller     *control.Controller
	transport      *raftdriver.Transport
	readyProcessor *raftdriver.ReadyProcessor
	snapshots      raftdriver.SnapshotReceiver
	subscribers    *raftdriver.Subscribers[table.MemberID]

	bootstrapState     bootstrapState
	storedState        raft.PersistentState
	leading            bool
	lastTick           clock.Reading
	lastControllerTick clock.Reading
	proposals          raftdriver.Proposals[control.Result]
	propagation        propagation
	unserved           *unservedTimes
	// notifiedRevisions are the revisions of the last notification of the
	// members, lastNotified its time.
	notifiedRevisions revisions
	lastNotified      clock.Reading
}

// revisions are the revisions that members follow.
type revisions struct{ table, config, directory uint64 }

// Open reads the replica's data directory. A damaged data directory is an
// error: the replica must not vote after it has lost a vote or an entry that it
// had acknowledged.
func Open(cfg Config, client *peer.Client, log logging.Logger) (*Replica, error) {
	r := &Replica{
		cfg: cfg, client: client, log: log,
		tasks:       raftdriver.NewTaskQueue(),
		failed:      make(chan error, 1),
		state:       control.NewState(),
		controller:  control.NewController(cfg.Controller, rand.New(rand.NewPCG(cfg.Seed, shard.Hash(cfg.ID)))),
		subscribers: raftdriver.NewSubscribers[table.MemberID](MethodRenewNow),
		proposals:   raftdriver.Proposals[control.Result]{},
	}
	r.snapshots.Deliver = r.post
	r.transport = raftdriver.NewTransport(client, r.address, log)
	if err := r.open(); err != nil {
		return nil, err
	}
	return r, nil
}

// open opens the store and starts the replicated log if the replica has an id.
// Otherwise Run bootstraps the group or joins it.
func (r *Replica) open() error {
	fsys := store.DirFS(r.cfg.DataDir)
	st, stored, empty, err := store.Open(fsys)
	if err != nil {
		return err
	}
	r.store, r.storedState = st, stored
	id, err := r.bootstrapState.load(r.cfg, fsys, empty)
	if err != nil || id == "" {
		return err
	}
	return r.start(id, stored)
}

// start starts the replicated log as replica id from the stored state.
func (r *Replica) start(id raft.ID, stored raft.PersistentState) error {
	node, err := raft.New(raft.Config{
		ID: id, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks,
		KeepEntries: int(r.cfg.SnapshotEntries),
		Rand:        rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), shard.Hash(string(id)))),
	}, stored)
	if err != nil {
		return Error.Wrap(err)
	}
	if len(stored.Snapshot.Data) > 0 {
		if r.state, err = control.Restore(stored.Snapshot.Data); err != nil {
			return Error.Wrap(err)
		}
	}
	r.raft = node
	r.readyProcessor = &raftdriver.ReadyProcessor{Store: r.store, Transport: r.transport, SnapshotEntries: r.cfg.SnapshotEntries, SnapshotIndex: stored.Snapshot.Index}
	r.lastTick = timesource.Now()
	r.log.Infof("replica %s starts at index %d, term %d", id, stored.Snapshot.Index+uint64(len(stored.Entries)), stored.HardState.Term)
	return nil
}

// Run runs the replica and blocks until ctx ends. It returns an error if the
// replica had to stop, for example because its disk failed.
func (r *Replica) Run(ctx context.Context) error {
	defer r.stop()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	go r.bootstrapOrJoin(ctx)
	for {
		var task func()
		select {
		case <-ctx.Done():
			return r.store.Close()
		case err := <-r.failed:
			return err
		case <-ticker.C:
		case task = <-r.tasks.C():
		}
		// The ticks are counted before the task runs: after a pause of the
		// process a leader must notice that it has lost its quorum before it
		// answers a request.
		r.advanceTicks()
		if task != nil {
			task()
		}
		if err := r.process(); err != nil {
			r.log.Errorf("replica stops: %v", err)
			return err
		}
	}
}

func (r *Replica) stop() {
	r.tasks.Stop()
	r.transport.Close()
}

// do runs f on the replica's goroutine and waits for it. After an error f may
// still run later.
func (r *Replica) do(ctx context.Context, f func()) error {
	return Error.Wrap(r.tasks.Do(ctx, f))
}

// advanceTicks advances the replicated log by the ticks that have passed.
func (r *Replica) advanceTicks() {
	if r.raft == nil {
		return
	}
	now := timesource.Now()
	count, last := elapsedTicks(r.lastTick, now, r.raft.Status().Role == raft.Leader)
	if count == maxCatchUpTicks {
		r.log.Warnf("the process was paused for %s", now.Since(r.lastTick).Round(time.Millisecond))
	}
	r.lastTick = last
	for range count {
		r.raft.Tick()
	}
}

// isActiveLeader reports whether this replica may answer as leader now: it
// leads, is in contact with a quorum and has applied an entry of its term.
func (r *Replica) isActiveLeader() bool {
	if r.raft == nil {
		return false
	}
	st := r.raft.Status()
	return r.leading && st.QuorumActive && st.TermApplied
}

// notLeader returns the error with which a replica that does not lead answers.
// It names the leader's address and id if they are known.
func (r *Replica) notLeader() error {
	e := &peer.NotLeaderError{}
	if r.raft != nil {
		if leader := r.raft.Status().Leader; leader != "" && leader != r.raft.Status().ID {
			e.Leader = r.address(leader)
			e.ID = NameOf(leader)
		}
	}
	return e
}

// NameOf returns a replica's name in the settings. The id is that name, or the
// name, a dot and the data directory id if the replica joined later or after
// its data directory was lost. A name that contains a dot is cut at it.
func NameOf(id raft.ID) string {
	name, _, _ := strings.Cut(string(id), ".")
	return name
}

// address returns the peer address of a replica, or an empty string if it is
// not known. It comes from the settings by the replica's name, or from the
// directory for replicas that were added later.
func (r *Replica) address(id raft.ID) string {
	name := NameOf(id)
	for _, p := range r.cfg.Peers {
		if p.ID == name {
			return p.Address
		}
	}
	for _, m := range r.state.Members() {
		if string(m.ID) == name {
			return m.PeerAddr
		}
	}
	return ""
}

// Addresses returns the peer addresses of the group's replicas by id, empty
// for those that are not known. The map is empty while the replicated log is
// not started.
func (r *Replica) Addresses(ctx context.Context) (map[string]string, error) {
	out := map[string]string{}
	err := r.do(ctx, func() {
		if r.raft == nil {
			return
		}
		m := r.raft.Status().Membership
		for _, id := range append(m.Voters, m.Learners...) {
			out[string(id)] = r.address(id)
		}
	})
	return out, err
}
