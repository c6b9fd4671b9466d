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

// MethodBootstrapProbe is the jsonrpc2 method by which the first replicas find out
// whether their group exists already.
const MethodBootstrapProbe = "control.hello"

const (
	formationFile  = "formation.json"
	formInterval   = 200 * time.Millisecond
	helloTimeout   = time.Second
	formationPerms = 0o600
)

// formation is how a replica came to its group. Each folder has a random
// birth. The founders form the group once each has the births of all; a
// founder whose folder was lost has a new birth, which the others do not know,
// and must not vote under its old id: it may have voted before.
type formation struct {
	Birth string `json:"birth"`
	// Births holds the founders' births once the group was formed.
	Births map[string]string `json:"births,omitempty"`

	folder string
}

// BootstrapProbe asks a founder what it knows.
type BootstrapProbe struct {
	ID        string `json:"id"`
	Cluster   string `json:"cluster"`
	DataDirID string `json:"birth"`
}

// BootstrapProbeReply answers BootstrapProbe.
type BootstrapProbeReply struct {
	DataDirID    string `json:"birth"`
	Bootstrapped bool   `json:"formed"`
	// RecordedDataDirID is the asker's birth as of the formation.
	RecordedDataDirID string `json:"known,omitempty"`
}

// load reads the folder's formation or begins a new one. It returns the
// replica's id if it already has one.
func (f *formation) load(cfg Config, fsys store.FS, empty bool) (raft.ID, error) {
	f.folder = cfg.DataDir
	data, err := os.ReadFile(filepath.Join(cfg.DataDir, formationFile))
	switch {
	case err == nil:
		if err := json.Unmarshal(data, f); err != nil {
			return "", Error.New("%s is damaged: %v", formationFile, err)
		}
	case errors.Is(err, os.ErrNotExist) && empty:
		f.Birth = newBirth()
		if err := f.save(); err != nil {
			return "", err
		}
	default:
		return "", Error.New("%s cannot be read although the folder holds a log: %v", formationFile, err)
	}
	id, err := store.ReadIdentity(fsys)
	if errors.Is(err, store.ErrNoIdentity) {
		return "", nil
	}
	if err != nil {
		return "", err
	}
	if id.Cluster != cfg.Cluster {
		return "", Error.New("the folder belongs to cluster %q", id.Cluster)
	}
	return id.Replica, nil
}

func newBirth() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails, by its documentation
	return hex.EncodeToString(b[:])
}

// save writes the file so that it is there whole or not at all.
func (f *formation) save() error {
	data, err := json.Marshal(f)
	if err != nil {
		return Error.Wrap(err)
	}
	name := filepath.Join(f.folder, formationFile)
	if err := writeSynced(name+".tmp", data); err != nil {
		return err
	}
	if err := os.Rename(name+".tmp", name); err != nil {
		return Error.Wrap(err)
	}
	return store.DirFS(f.folder).SyncDir()
}

func writeSynced(name string, data []byte) error {
	file, err := os.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, formationPerms)
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

// hello answers another founder.
func (n *Replica) hello(_ context.Context, h BootstrapProbe) (BootstrapProbeReply, error) {
	if h.Cluster != n.cfg.Cluster {
		return BootstrapProbeReply{}, Error.New("this is cluster %q", n.cfg.Cluster)
	}
	var reply BootstrapProbeReply
	err := n.do(context.Background(), func() {
		reply = BootstrapProbeReply{DataDirID: n.formation.Birth, Bootstrapped: len(n.formation.Births) > 0, RecordedDataDirID: n.formation.Births[h.ID]}
	})
	return reply, err
}

// form makes the replica take part: as a founder, or as a replica that waits
// to be added to the group.
func (n *Replica) form(ctx context.Context) {
	for {
		done := false
		if err := n.do(ctx, func() { done = n.raft != nil }); err != nil || done {
			return
		}
		if !n.cfg.Bootstrap {
			n.join(ctx, "the settings do not bootstrap")
			return
		}
		switch births, verdict := n.ask(ctx); verdict {
		case allKnown:
			n.found(ctx, births)
			return
		case replaced:
			n.join(ctx, "the group was formed with another folder")
			return
		}
		select {
		case <-time.After(formInterval):
		case <-ctx.Done():
			return
		}
	}
}

// verdict is what the other founders' answers mean.
type verdict int

const (
	undecided verdict = iota
	allKnown
	replaced
)

// ask collects the births of all founders.
func (n *Replica) ask(ctx context.Context) (map[string]string, verdict) {
	births := map[string]string{n.cfg.ID: n.formation.Birth}
	result := allKnown
	for _, p := range n.cfg.Peers {
		if p.ID == n.cfg.ID {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, helloTimeout)
		var reply BootstrapProbeReply
		err := n.client.Call(ctx, p.Address, MethodBootstrapProbe, BootstrapProbe{ID: n.cfg.ID, Cluster: n.cfg.Cluster, DataDirID: n.formation.Birth}, &reply)
		cancel()
		switch {
		case err != nil:
			n.log.Debugf("founder %s does not answer: %v", p.ID, err)
			result = undecided
		case reply.Bootstrapped && reply.RecordedDataDirID != n.formation.Birth:
			return nil, replaced
		default:
			births[p.ID] = reply.DataDirID
		}
	}
	return births, result
}

// found starts the group.
func (n *Replica) found(ctx context.Context, births map[string]string) {
	voters := make([]raft.ID, 0, len(births))
	for id := range births {
		voters = append(voters, raft.ID(id))
	}
	stored := raft.Bootstrap(voters)
	n.begin(ctx, raft.ID(n.cfg.ID), births, &stored)
}

// join waits to be added under a new id.
func (n *Replica) join(ctx context.Context, why string) {
	id := raft.ID(n.cfg.ID + "." + n.formation.Birth)
	n.log.Warnf("%s; add this replica with: bqctl control add %s", why, id)
	n.begin(ctx, id, nil, nil)
}

// begin makes the decision durable and starts the log.
func (n *Replica) begin(ctx context.Context, id raft.ID, births map[string]string, founded *raft.PersistentState) {
	err := n.do(ctx, func() {
		if err := n.record(id, births, founded); err != nil {
			n.failed <- err
		}
	})
	if err != nil {
		n.log.Debugf("formation ended: %v", err)
	}
}

func (n *Replica) record(id raft.ID, births map[string]string, founded *raft.PersistentState) error {
	n.formation.Births = births
	if err := n.formation.save(); err != nil {
		return err
	}
	stored := raft.PersistentState{}
	if founded != nil {
		stored = *founded
		if err := n.saveFounded(stored); err != nil {
			return err
		}
	}
	err := store.WriteIdentity(store.DirFS(n.cfg.DataDir), store.Identity{Replica: id, Cluster: n.cfg.Cluster})
	if err != nil {
		return err
	}
	return n.start(id, stored)
}

// saveFounded stores the first state, unless an earlier start was interrupted
// after it had done so.
func (n *Replica) saveFounded(stored raft.PersistentState) error {
	if n.opened.Snapshot.Index == 0 {
		if err := n.store.SaveSnapshot(stored.Snapshot); err != nil {
			return err
		}
	}
	return n.store.Save(&stored.HardState, nil)
}
