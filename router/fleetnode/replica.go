package fleetnode

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/sync/semaphore"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/fleet"
	"bramleyquay.example/coord/raft"
	"bramleyquay.example/router/leaderclient"
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
	cfg   Config
	id    raft.ID // constant after Open
	peers *leaderclient.Client
	log   logging.Logger
	tasks *raftdriver.TaskQueue

	store          *store.Store
	raft           *raft.Node
	state          *fleet.State
	leader         *fleet.Leader
	membership     *fleet.MembershipManager
	transport      *raftdriver.Transport
	readyProcessor *raftdriver.ReadyProcessor
	snapshots      raftdriver.SnapshotReceiver
	received       receivedState
	changes        *semaphore.Weighted // nil without a bound
	subscribers    *raftdriver.Subscribers[string]
	compressor     changeCompressor

	lastTick            clock.Reading
	lastLeaseCheck      clock.Reading
	lastMembershipCheck clock.Reading
	lastProbe           clock.Reading
	probing             map[raft.ID]bool // probes in progress
	lastLeader          raft.ID
	proposals           raftdriver.Proposals[fleet.Result]
	// pendingRanges contains the last proposal of ranges for each service in this
	// term. After it, no change from the same base revision is proposed for
	// proposalTimeout.
	pendingRanges map[string]pendingProposal
	// lastNotified is the time of the last notification of the members;
	// notifiedRevisions and notifiedDirectory are the revisions that it was for.
	lastNotified      clock.Reading
	notifiedRevisions fleet.Revisions
	notifiedDirectory uint64
}

// pendingProposal is the leader's last proposal for a service, which may be
// applied already.
type pendingProposal struct {
	baseRevision uint64
	proposedAt   clock.Reading
}

// proposalTimeout is the time after which a proposal that is not applied is
// retried. It is long enough for a commit on slow disks.
const proposalTimeout = 500 * time.Millisecond

// Open reads the replica's data directory and starts the replicated log. It
// blocks while the disk is full. A damaged data directory is an error: the
// replica must not vote after it has lost a vote or an entry that it had
// acknowledged.
func Open(cfg Config, client *peer.Client, peers *leaderclient.Client, log logging.Logger) (*Replica, error) {
	r := &Replica{
		cfg: cfg, peers: peers, log: log,
		tasks:       raftdriver.NewTaskQueue(),
		state:       fleet.NewState(),
		leader:      fleet.NewLeader(cfg.Leader),
		subscribers: raftdriver.NewSubscribers[string](MethodRenewNow),
		proposals:   raftdriver.Proposals[fleet.Result]{},
		probing:     map[raft.ID]bool{},
		changes:     newChangeSemaphore(cfg.MaxChangeBytes),
	}
	r.snapshots.Deliver = r.post
	r.snapshots.LimitMemory(cfg.Memory)
	r.transport = raftdriver.NewTransport(client, func(id raft.ID) string {
		if a := fleet.ReplicaAddress(id); a != cfg.Address {
			return a
		}
		return ""
	}, log)
	fsys := store.DirFS(cfg.DataDir)
	if err := awaitFreeSpace(fsys, freeSpaceInterval, log); err != nil {
		return nil, err
	}
	st, stored, empty, err := store.Open(fsys)
	if err != nil {
		return nil, err
	}
	r.store = st
	id, stored, err := r.loadIdentity(fsys, stored, empty)
	if err != nil {
		return nil, err
	}
	return r, r.start(id, stored)
}

// loadIdentity returns the replica's id from the data directory. Without a
// stored id, an initial voter at its first start gets the id that the other
// initial voters know, and bootstraps the group. The identity is written last,
// so an initial voter with a log and without an identity was interrupted at
// its first start and continues from the stored state. Any other replica gets
// a new id, because it may have voted under an earlier id that was lost with
// its data; there, a log without an identity is an error.
func (r *Replica) loadIdentity(fsys store.FS, stored raft.PersistentState, empty bool) (raft.ID, raft.PersistentState, error) {
	identity, err := store.ReadIdentity(fsys)
	if err == nil {
		if identity.Cluster != r.cfg.Cluster {
			return "", stored, Error.New("the data directory belongs to cluster %q", identity.Cluster)
		}
		return identity.Replica, stored, nil
	}
	if !errors.Is(err, store.ErrNoIdentity) {
		return "", stored, err
	}
	isInitialVoter := slices.Contains(r.cfg.InitialVoters, r.cfg.Address)
	if !empty && !isInitialVoter {
		return "", stored, Error.New("the data directory contains a log but no replica identity")
	}
	id := fleet.ReplicaID(r.cfg.Address, newDataDirID())
	if isInitialVoter {
		id = fleet.ReplicaID(r.cfg.Address, initialVoterDataDirID)
	}
	if isInitialVoter && empty {
		if stored, err = r.bootstrap(); err != nil {
			return "", stored, err
		}
	}
	return id, stored, store.WriteIdentity(fsys, store.Identity{Replica: id, Cluster: r.cfg.Cluster})
}

// initialVoterDataDirID is the data directory id in the ids of the initial
// voters. It is fixed because each of them must know the ids of the others.
const initialVoterDataDirID = "founder"

// bootstrap stores the initial state of the group and returns it.
func (r *Replica) bootstrap() (raft.PersistentState, error) {
	var voters []raft.ID
	for _, a := range r.cfg.InitialVoters {
		voters = append(voters, fleet.ReplicaID(a, initialVoterDataDirID))
	}
	stored := raft.Bootstrap(voters)
	if err := r.store.SaveSnapshot(stored.Snapshot); err != nil {
		return stored, err
	}
	return stored, r.store.Save(&stored.HardState, nil)
}

// start starts the replicated log as replica id from the stored state.
func (r *Replica) start(id raft.ID, stored raft.PersistentState) error {
	node, err := raft.New(raft.Config{
		ID: id, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks,
		KeepEntries: int(r.cfg.SnapshotEntries),
		Rand:        rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), rand.Uint64())),
	}, stored)
	if err != nil {
		return Error.Wrap(err)
	}
	if len(stored.Snapshot.Data) > 0 {
		if r.state, err = fleet.Restore(stored.Snapshot.Data); err != nil {
			return Error.Wrap(err)
		}
	}
	r.id, r.raft, r.lastTick = id, node, timesource.BootTime()
	r.readyProcessor = &raftdriver.ReadyProcessor{Store: r.store, Transport: r.transport, SnapshotEntries: r.cfg.SnapshotEntries, SnapshotIndex: stored.Snapshot.Index}
	r.log.Info().Str("replica", string(id)).Uint64("index", stored.Snapshot.Index+uint64(len(stored.Entries))).
		Uint64("term", stored.HardState.Term).Uint64("version", r.state.Version()).Msg("replica starts")
	return nil
}

// Run runs the replica and blocks until ctx ends. It returns an error if the
// replica had to stop, for example because its disk failed.
func (r *Replica) Run(ctx context.Context) error {
	defer r.stop()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	go r.join(ctx)
	for {
		var task func()
		select {
		case <-ctx.Done():
			return r.store.Close()
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
			r.log.Error().Err(err).Msg("replica stops")
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
	now := timesource.BootTime()
	count, last := raftdriver.ElapsedTicks(r.lastTick, now, r.raft.Status().Role == raft.Leader, tickInterval, maxCatchUpTicks)
	if count == maxCatchUpTicks {
		r.log.Warn().Dur("pause", now.MonoSince(r.lastTick)).Msg("the process was paused")
	}
	r.lastTick = last
	for range count {
		r.raft.Tick()
	}
}

// isActiveLeader reports whether this replica may answer as leader now: it
// leads, is in contact with a quorum and has applied an entry of its term.
func (r *Replica) isActiveLeader() bool {
	st := r.raft.Status()
	return r.leader.IsLeader() && st.QuorumActive && st.TermApplied
}

// notLeader returns the error with which a replica that does not lead answers.
// It names the leader's address if it is known.
func (r *Replica) notLeader() error {
	e := &peer.NotLeaderError{}
	if leader := r.raft.Status().Leader; leader != "" && leader != r.raft.Status().ID {
		e.Leader = fleet.ReplicaAddress(leader)
	}
	return e
}
