package fleetdaemon_test

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/fleet"
	"bramleyquay.example/router/fleetdaemon"
	"bramleyquay.example/router/fleetnode"
	"bramleyquay.example/router/memory/heappeak"
)

const (
	// replicaMemory is the memory limit of the replica in TestMemoryOfLargeDocuments.
	replicaMemory = 128 << 20
	// largeRoutes gives changes of about 0.5 MB.
	largeRoutes = 2000
	// largeChanges is fewer than fleetnode.DefaultSnapshotEntries. Their sum is about
	// 60 MB.
	largeChanges = 120
)

func largeDocument(version uint64) *fleet.ApplyDocument {
	d := document(version)
	for i := range largeRoutes {
		r := d.Routes[1]
		r.Name, r.Prefix = fmt.Sprintf("route-%d", i), fmt.Sprintf("/large/%d/", i)
		d.Routes = append(d.Routes, r)
	}
	text := bytes.Repeat([]byte(`{"name":"route","match":"/large/"},`), 6*largeRoutes)
	return &fleet.ApplyDocument{ChangeID: fmt.Sprint(version), BaseVersion: version - 1, Document: d, Text: text}
}

func propose(t *testing.T, p *process, change *fleet.ApplyDocument) fleet.Result {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	var result fleet.Result
	if err := p.Leaders().CallLeader(ctx, fleetnode.MethodPropose, fleetnode.ProposeRequest{ApplyDocument: change}, &result); err != nil {
		t.Fatal(err)
	}
	return result
}

// Guards against a replica whose log grows with the size of the document, so that it needs
// more than its memory or its disk to run, or more than its memory to start again.
func TestMemoryOfLargeDocuments(t *testing.T) {
	is := is.New(t)
	before := debug.SetMemoryLimit(-1)
	t.Cleanup(func() { debug.SetMemoryLimit(before) })
	peer, dir := freeAddress(t), t.TempDir()
	cfg := fleetdaemon.Config{
		Cluster: "test", Peer: peer, TrustNetwork: true, Seeds: []string{peer}, StopTimeout: time.Second, MemoryBytes: replicaMemory,
		Lease:   fleetdaemon.LeaseConfig{AnnounceInterval: time.Second},
		Control: &fleetdaemon.ControlConfig{DataDir: dir, InitialVoters: []string{peer}},
	}
	peak := heappeak.Measure(time.Millisecond)
	p := start(t, cfg)
	for version := range uint64(largeChanges) {
		is.Equal(propose(t, p, largeDocument(version+1)).Status, fleet.Accepted)
		is.True(diskBytes(t, dir) < 16<<20) // twice 4 MiB of entries, and snapshots of 0.5 MB
	}
	running := peak()
	p.stop()
	<-p.done

	peak = heappeak.Measure(time.Millisecond)
	p = start(t, cfg)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	var reply fleetnode.ReadDocumentReply
	is.NoErr(p.Leaders().CallLeader(ctx, fleetnode.MethodRead, fleetnode.ReadDocumentRequest{}, &reply))
	is.Equal(reply.Version, uint64(largeChanges))
	starting := peak()
	t.Logf("most memory: %d MiB while it runs, %d MiB while it starts", running>>20, starting>>20)
	is.True(running < replicaMemory*memoryShare)
	is.True(starting < replicaMemory*memoryShare)
}

// memoryShare is the share of the limit that the heap may take; the rest is for garbage.
const memoryShare = 0.5

func diskBytes(t *testing.T, dir string) int64 {
	t.Helper()
	files, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	sum := int64(0)
	for _, f := range files {
		if info, err := os.Stat(filepath.Join(dir, f.Name())); err == nil { // it may just have been removed
			sum += info.Size()
		}
	}
	return sum
}

// Guards against a document that is accepted although the replicas cannot hold the copies
// of it that they need, and against a refusal that changes something.
func TestTooLargeDocumentIsRefused(t *testing.T) {
	is := is.New(t)
	before := debug.SetMemoryLimit(-1)
	t.Cleanup(func() { debug.SetMemoryLimit(before) })
	peer := freeAddress(t)
	p := start(t, fleetdaemon.Config{
		Cluster: "test", Peer: peer, TrustNetwork: true, Seeds: []string{peer}, StopTimeout: time.Second, MemoryBytes: 64 << 20,
		Lease:   fleetdaemon.LeaseConfig{AnnounceInterval: time.Second},
		Control: &fleetdaemon.ControlConfig{DataDir: t.TempDir(), InitialVoters: []string{peer}},
	})
	first := &fleet.ApplyDocument{ChangeID: "1", Document: document(1), Text: []byte("text")}
	is.Equal(propose(t, p, first).Status, fleet.Accepted)
	tooLarge := &fleet.ApplyDocument{ChangeID: "2", BaseVersion: 1, Document: document(2), Text: make([]byte, 1<<20)}
	is.Equal(propose(t, p, tooLarge), fleet.Result{Status: fleet.TooLarge, Version: 1})
	is.Equal(propose(t, p, &fleet.ApplyDocument{ChangeID: "3", BaseVersion: 1, Document: document(3)}).Status, fleet.Accepted)
}
