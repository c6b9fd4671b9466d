package controlnode

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"time"

	"bramleyquay.example/coord/raft"
	"bramleyquay.example/router/store"
)

// MethodBootstrapProbe is the jsonrpc2 method by which the initial voters
// exchange their data directory ids and find out whether the group is already
// bootstrapped.
const MethodBootstrapProbe = "control.hello"

const (
	bootstrapFile = "formation.json"
	// probeInterval is the time between two rounds of probes of the other
	// initial voters.
	probeInterval = 200 * time.Millisecond
	// probeTimeout is the time limit of one probe.
	probeTimeout       = time.Second
	bootstrapFilePerms = 0o600
)

// bootstrapState is the stored state of the bootstrap. Each data directory has a
// random id. The initial voters bootstrap the group once each has the data
// directory ids of all. An initial voter whose data directory was lost gets a
// new data directory id, which the others have not recorded, and must not vote
// under its old replica id, because it may have voted before.
type bootstrapState struct {
	DataDirID string `json:"birth"`
	// VoterDataDirIDs are the data directory ids of the initial voters, set once
	// the group is bootstrapped.
	VoterDataDirIDs map[string]string `json:"births,omitempty"`

	dataDir string
}

// BootstrapProbe asks an initial voter for its BootstrapProbeReply.
type BootstrapProbe struct {
	ID        string `json:"id"`
	Cluster   string `json:"cluster"`
	DataDirID string `json:"birth"`
}

// BootstrapProbeReply answers BootstrapProbe.
type BootstrapProbeReply struct {
	DataDirID    string `json:"birth"`
	Bootstrapped bool   `json:"formed"`
	// RecordedDataDirID is the data directory id that the requester had when the
	// group was bootstrapped.
	RecordedDataDirID string `json:"known,omitempty"`
}

// load reads the stored state or creates a new one in an empty data directory.
// It returns the replica's id, or an empty one if the replica has none yet.
func (b *bootstrapState) load(cfg Config, fsys store.FS, empty bool) (raft.ID, error) {
	b.dataDir = cfg.DataDir
	data, err := os.ReadFile(filepath.Join(cfg.DataDir, bootstrapFile))
	switch {
	case err == nil:
		if err := json.Unmarshal(data, b); err != nil {
			return "", Error.New("%s is damaged: %v", bootstrapFile, err)
		}
	case errors.Is(err, os.ErrNotExist) && empty:
		b.DataDirID = newDataDirID()
		if err := b.save(); err != nil {
			return "", err
		}
	default:
		return "", Error.New("%s cannot be read, but the data directory contains a log: %v", bootstrapFile, err)
	}
	identity, err := store.ReadIdentity(fsys)
	if errors.Is(err, store.ErrNoIdentity) {
		return "", nil
	}
	if err != nil {
		return "", err
	}
	if identity.Cluster != cfg.Cluster {
		return "", Error.New("the data directory belongs to cluster %q", identity.Cluster)
	}
	return identity.Replica, nil
}

// newDataDirID returns a random id for a data directory.
func newDataDirID() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails, by its documentation
	return hex.EncodeToString(b[:])
}

// save replaces the file atomically: after a crash it has the old or the new
// content.
func (b *bootstrapState) save() error {
	data, err := json.Marshal(b)
	if err != nil {
		return Error.Wrap(err)
	}
	name := filepath.Join(b.dataDir, bootstrapFile)
	if err := writeSynced(name+".tmp", data); err != nil {
		return err
	}
	if err := os.Rename(name+".tmp", name); err != nil {
		return Error.Wrap(err)
	}
	return store.DirFS(b.dataDir).SyncDir()
}

// writeSynced writes a file and syncs it.
func writeSynced(name string, data []byte) error {
	file, err := os.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, bootstrapFilePerms)
	if err != nil {
		return Error.Wrap(err)
	}
	if _, err := file.Write(data); err != nil {
		_ = file.Close()
		return Error.Wrap(err)
	}
	if err := file.Sync(); err != nil {
		_ = file.Close()
		return Error.Wrap(err)
	}
	return Error.Wrap(file.Close())
}

// handleBootstrapProbe answers the probe of another initial voter.
func (r *Replica) handleBootstrapProbe(_ context.Context, probe BootstrapProbe) (BootstrapProbeReply, error) {
	if probe.Cluster != r.cfg.Cluster {
		return BootstrapProbeReply{}, Error.New("this is cluster %q", r.cfg.Cluster)
	}
	var reply BootstrapProbeReply
	err := r.do(context.Background(), func() {
		reply = BootstrapProbeReply{DataDirID: r.bootstrapState.DataDirID, Bootstrapped: len(r.bootstrapState.VoterDataDirIDs) > 0, RecordedDataDirID: r.bootstrapState.VoterDataDirIDs[probe.ID]}
	})
	if err != nil {
		return BootstrapProbeReply{}, err
	}
	return reply, nil
}

// bootstrapOrJoin starts a replica that has no id yet: as an initial voter once
// the probes of the others are complete, or as a replica that waits until an
// operator adds it to the group. It blocks until the replica has started or ctx
// ends.
func (r *Replica) bootstrapOrJoin(ctx context.Context) {
	for {
		done := false
		if err := r.do(ctx, func() { done = r.raft != nil }); err != nil || done {
			return
		}
		if !r.cfg.Bootstrap {
			r.startAsJoining(ctx, "the settings do not set bootstrap")
			return
		}
		switch dataDirIDs, result := r.probeInitialVoters(ctx); result {
		case probeComplete:
			r.bootstrap(ctx, dataDirIDs)
			return
		case dataDirReplaced:
			r.startAsJoining(ctx, "the group was bootstrapped with another data directory of this replica")
			return
		}
		select {
		case <-time.After(probeInterval):
		case <-ctx.Done():
			return
		}
	}
}

// probeResult is the result of probing the other initial voters.
type probeResult int

const (
	// probeIncomplete means that not all initial voters answered.
	probeIncomplete probeResult = iota
	// probeComplete means that the data directory ids of all are known.
	probeComplete
	// dataDirReplaced means that the group is bootstrapped, with another data
	// directory of this replica.
	dataDirReplaced
)

// probeInitialVoters collects the data directory ids of all initial voters by
// replica name.
func (r *Replica) probeInitialVoters(ctx context.Context) (map[string]string, probeResult) {
	dataDirIDs := map[string]string{r.cfg.ID: r.bootstrapState.DataDirID}
	result := probeComplete
	for _, p := range r.cfg.Peers {
		if p.ID == r.cfg.ID {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		var reply BootstrapProbeReply
		err := r.client.Call(ctx, p.Address, MethodBootstrapProbe, BootstrapProbe{ID: r.cfg.ID, Cluster: r.cfg.Cluster, DataDirID: r.bootstrapState.DataDirID}, &reply)
		cancel()
		switch {
		case err != nil:
			r.log.Debugf("initial voter %s does not answer: %v", p.ID, err)
			result = probeIncomplete
		case reply.Bootstrapped && reply.RecordedDataDirID != r.bootstrapState.DataDirID:
			return nil, dataDirReplaced
		default:
			dataDirIDs[p.ID] = reply.DataDirID
		}
	}
	return dataDirIDs, result
}

// bootstrap starts the replica as an initial voter of a new group.
func (r *Replica) bootstrap(ctx context.Context, dataDirIDs map[string]string) {
	voters := make([]raft.ID, 0, len(dataDirIDs))
	for id := range dataDirIDs {
		voters = append(voters, raft.ID(id))
	}
	stored := raft.Bootstrap(voters)
	r.startAs(ctx, raft.ID(r.cfg.ID), dataDirIDs, &stored)
}

// startAsJoining starts the replica under a new id. The replica then waits
// until an operator adds it to the group.
func (r *Replica) startAsJoining(ctx context.Context, reason string) {
	id := raft.ID(r.cfg.ID + "." + r.bootstrapState.DataDirID)
	r.log.Warnf("%s; add this replica with: bqctl control add %s", reason, id)
	r.startAs(ctx, id, nil, nil)
}

// startAs stores the replica's id and, if it is an initial voter, the data
// directory ids of all initial voters, and starts the replicated log as
// replica id, with the initial state of a new group if that is not nil. If
// that fails, Run returns the error.
func (r *Replica) startAs(ctx context.Context, id raft.ID, dataDirIDs map[string]string, initial *raft.PersistentState) {
	err := r.do(ctx, func() {
		if err := r.saveAndStart(id, dataDirIDs, initial); err != nil {
			r.failed <- err
		}
	})
	if err != nil {
		r.log.Debugf("bootstrap ended: %v", err)
	}
}

// saveAndStart does the work of startAs on the replica's goroutine. The
// identity is written last: a start that is interrupted before it repeats the
// bootstrap.
func (r *Replica) saveAndStart(id raft.ID, dataDirIDs map[string]string, initial *raft.PersistentState) error {
	r.bootstrapState.VoterDataDirIDs = dataDirIDs
	if err := r.bootstrapState.save(); err != nil {
		return err
	}
	stored := raft.PersistentState{}
	if initial != nil {
		stored = *initial
		if err := r.saveInitialState(stored); err != nil {
			return err
		}
	}
	err := store.WriteIdentity(store.DirFS(r.cfg.DataDir), store.Identity{Replica: id, Cluster: r.cfg.Cluster})
	if err != nil {
		return err
	}
	return r.start(id, stored)
}

// saveInitialState stores the initial state of a new group. The snapshot may
// exist already, if an earlier start was interrupted after it was stored.
func (r *Replica) saveInitialState(stored raft.PersistentState) error {
	if r.storedState.Snapshot.Index == 0 {
		if err := r.store.SaveSnapshot(stored.Snapshot); err != nil {
			return err
		}
	}
	return r.store.Save(&stored.HardState, nil)
}
