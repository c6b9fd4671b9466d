package fleetdaemon_test

import (
	"context"
	"fmt"
	"net"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/fleet"
	"bramleyquay.example/coord/raft"
	"bramleyquay.example/router/fleetdaemon"
	"bramleyquay.example/router/fleetnode"
)

// replicas is a control group on 127.0.1.N.
type replicas struct {
	t       *testing.T
	seeds   []string
	folders map[string]string
	run     map[string]*process
}

func (r *replicas) start(address string, founders []string) {
	folder := r.folders[address]
	if folder == "" {
		folder = r.t.TempDir()
		r.folders[address] = folder
	}
	r.run[address] = start(r.t, fleetdaemon.Config{
		Cluster: "test", Peer: address, TrustNetwork: true, Seeds: r.seeds, StopTimeout: 2 * time.Second,
		Lease:   fleetdaemon.LeaseConfig{AnnounceInterval: time.Second},
		Control: &fleetdaemon.ControlConfig{DataDir: folder, InitialVoters: founders, ToleratedFailures: 2},
	})
}

func (r *replicas) stop(address string) {
	r.run[address].stop()
	<-r.run[address].done
	delete(r.run, address)
}

// call calls the leader through any process that runs.
func (r *replicas) call(method string, params, result any) error {
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	for _, p := range r.run {
		return p.Leaders().CallLeader(ctx, method, params, result)
	}
	return fmt.Errorf("no process runs")
}

// complete reports whether the group has five voters that all answer, none
// of them with an id in without.
func (r *replicas) complete(without ...raft.ID) bool {
	for _, p := range r.run {
		st, err := r.status(p)
		if err != nil || st.Role != "leader" || len(st.Voters) != 5 {
			continue
		}
		for _, v := range st.Voters {
			if !slices.Contains(st.Active, v) || slices.Contains(without, v) {
				return false
			}
		}
		return true
	}
	return false
}

func (r *replicas) status(p *process) (fleetnode.Status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	var st fleetnode.Status
	err := p.Leaders().CallReplica(ctx, p.cfg.Peer, fleetnode.MethodStatus, struct{}{}, &st)
	return st, err
}

// Guards against a group that does not form from its seeds, does not take in
// replicas that nobody was told of, loses what it acknowledged when two disks
// are lost, or waits for an operator to replace them.
func TestGroupFormsAndRepairsItself(t *testing.T) {
	is := is.New(t)
	port := portOf(freeAddress(t))
	r := &replicas{t: t, folders: map[string]string{}, run: map[string]*process{}}
	var all []string
	for i := range 5 {
		all = append(all, net.JoinHostPort(fmt.Sprintf("127.0.100.%d", i+1), port))
	}
	r.seeds = all[:3]
	for _, a := range all {
		r.start(a, r.seeds)
	}
	await(t, "a group of five", func() bool { return r.complete() })
	var result fleet.Result
	is.NoErr(r.call(fleetnode.MethodPropose, fleetnode.ProposeRequest{ApplyDocument: &fleet.ApplyDocument{ChangeID: "c", Document: document(7), Text: []byte("text")}}, &result))
	is.Equal(result.Status, fleet.Accepted)
	var lost []raft.ID
	for _, a := range all[:2] {
		st, err := r.status(r.run[a])
		is.NoErr(err)
		lost = append(lost, st.ID)
	}
	for _, a := range all[:2] {
		r.stop(a)
		is.NoErr(os.RemoveAll(r.folders[a]))
		delete(r.folders, a)
	}
	for _, a := range all[:2] {
		r.start(a, nil)
	}
	await(t, "a group of five again", func() bool { return r.complete(lost...) })
	// The two that kept their disks longest go; the replaced ones must know all.
	for _, a := range all[2:4] {
		r.stop(a)
	}
	var read fleetnode.ReadDocumentReply
	is.NoErr(r.call(fleetnode.MethodRead, fleetnode.ReadDocumentRequest{ChangeID: "c"}, &read))
	is.Equal(read.Version, uint64(7))
	is.Equal(string(read.Text), "text")
	is.True(read.Accepted)
}
