package fleetnode

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

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

// Replica is one control replica. All its state belongs to the goroutine of Run.
type Replica struct {
	cfg   Config
	peers *leaderclient.Client
	log   logging.Logger
	tasks *raftdriver.TaskQueue

	store      *store.Store
	raft       *raft.Node
	state      *fleet.State
	leader     *fleet.Leader
	membership *fleet.MembershipManager
	transport  *raftdriver.Transport
	work       *raftdriver.ReadyProcessor
	wakers     *raftdriver.Subscribers[string]
	packer     packer

	lastTick   clock.Reading
	lastReview clock.Reading
	lastUpkeep clock.Reading
	lastLeader raft.ID
	proposals  raftdriver.Proposals[fleet.Result]
	// planned is the table revision that the last proposal for a service
	// built on; one proposal at a time is in flight.
	planned map[string]flight
	woken   clock.Reading
	seen    fleet.Revisions
	listed  uint64
}

// flight is a proposal of the leader that was not applied yet.
type flight struct {
	base uint64
	at   clock.Reading
}

// flightTimeout is the time after which a proposal that was not applied is
// made again. It covers a commit on slow disks.
const flightTimeout = 500 * time.Millisecond

// Open reads the replica's folder. A damaged folder is an error: the replica
// must not take part with less than it has promised.
func Open(cfg Config, client *peer.Client, peers *leaderclient.Client, log logging.Logger) (*Replica, error) {
	n := &Replica{
		cfg: cfg, peers: peers, log: log,
		tasks:     raftdriver.NewTaskQueue(),
		state:     fleet.NewState(),
		leader:    fleet.NewLeader(cfg.Leader),
		wakers:    raftdriver.NewSubscribers[string](MethodRenewNow),
		proposals: raftdriver.Proposals[fleet.Result]{},
	}
	n.transport = raftdriver.NewTransport(client, func(id raft.ID) string {
		if a := fleet.ReplicaAddress(id); a != cfg.Address {
			return a
		}
		return ""
	}, log)
	fsys := store.DirFS(cfg.DataDir)
	if err := awaitRoom(fsys, roomPause, log); err != nil {
		return nil, err
	}
	st, stored, empty, err := store.Open(fsys)
	if err != nil {
		return nil, err
	}
	n.store = st
	id, stored, err := n.identify(fsys, stored, empty)
	if err != nil {
		return nil, err
	}
	return n, n.start(id, stored)
}

// identify returns the replica's id. A folder without one belongs to a
// founder at the first start and to a new replica otherwise: it may have
// voted before under another id and does not know.
func (n *Replica) identify(fsys store.FS, stored raft.PersistentState, empty bool) (raft.ID, raft.PersistentState, error) {
	known, err := store.ReadIdentity(fsys)
	if err == nil {
		if known.Cluster != n.cfg.Cluster {
			return "", stored, Error.New("the folder belongs to cluster %q", known.Cluster)
		}
		return known.Replica, stored, nil
	}
	if !errors.Is(err, store.ErrNoIdentity) {
		return "", stored, err
	}
	founder := slices.Contains(n.cfg.InitialVoters, n.cfg.Address)
	if !empty && !founder {
		return "", stored, Error.New("the folder holds a log and no identity")
	}
	id := fleet.ReplicaID(n.cfg.Address, newBirth())
	if founder {
		id = fleet.ReplicaID(n.cfg.Address, founderBirth)
	}
	if founder && empty {
		if stored, err = n.found(); err != nil {
			return "", stored, err
		}
	}
	return id, stored, store.WriteIdentity(fsys, store.Identity{Replica: id, Cluster: n.cfg.Cluster})
}

// founderBirth is the birth in the ids of the first voters, which each of
// them must know of the others.
const founderBirth = "founder"

// found stores the first state of the group.
func (n *Replica) found() (raft.PersistentState, error) {
	var voters []raft.ID
	for _, a := range n.cfg.InitialVoters {
		voters = append(voters, fleet.ReplicaID(a, founderBirth))
	}
	stored := raft.Bootstrap(voters)
	if err := n.store.SaveSnapshot(stored.Snapshot); err != nil {
		return stored, err
	}
	return stored, n.store.Save(&stored.HardState, nil)
}

// start begins to take part as replica id.
func (n *Replica) start(id raft.ID, stored raft.PersistentState) error {
	node, err := raft.New(raft.Config{
		ID: id, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks,
		KeepEntries: int(n.cfg.SnapshotEntries),
		Rand:        rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), rand.Uint64())),
	}, stored)
	if err != nil {
		return Error.Wrap(err)
	}
	if len(stored.Snapshot.Data) > 0 {
		if n.state, err = fleet.Restore(stored.Snapshot.Data); err != nil {
			return Error.Wrap(err)
		}
	}
	n.raft, n.lastTick = node, timesource.BootTime()
	n.work = &raftdriver.ReadyProcessor{Store: n.store, Transport: n.transport, SnapshotEntries: n.cfg.SnapshotEntries, SnapshotIndex: stored.Snapshot.Index}
	n.log.Info().Str("replica", string(id)).Uint64("index", stored.Snapshot.Index+uint64(len(stored.Entries))).
		Uint64("term", stored.HardState.Term).Uint64("version", n.state.Version()).Msg("replica starts")
	return nil
}

// Run runs the replica until ctx ends. It returns an error if the replica had
// to stop, for example because its disk failed.
func (n *Replica) Run(ctx context.Context) error {
	defer n.stop()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	go n.join(ctx)
	for {
		var event func()
		select {
		case <-ctx.Done():
			return n.store.Close()
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
			n.log.Error().Err(err).Msg("replica stops")
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
	now := timesource.BootTime()
	count, last := raftdriver.ElapsedTicks(n.lastTick, now, n.raft.Status().Role == raft.Leader, tickInterval, maxCatchUpTicks)
	if count == maxCatchUpTicks {
		n.log.Warn().Dur("pause", now.MonoSince(n.lastTick)).Msg("the process was paused")
	}
	n.lastTick = last
	for range count {
		n.raft.Tick()
	}
}

// serves reports whether this replica may answer as leader now.
func (n *Replica) serves() bool {
	st := n.raft.Status()
	return n.leader.IsLeader() && st.QuorumActive && st.TermApplied
}

// notLeader is the answer of a replica that does not lead.
func (n *Replica) notLeader() error {
	e := &peer.NotLeaderError{}
	if leader := n.raft.Status().Leader; leader != "" && leader != n.raft.Status().ID {
		e.Leader = fleet.ReplicaAddress(leader)
	}
	return e
}
