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

// controlGroup is a control group on 127.0.100.N.
type controlGroup struct {
	t         *testing.T
	seeds     []string
	dataDirs  map[string]string
	processes map[string]*process
}

func (g *controlGroup) start(address string, initialVoters []string) {
	dataDir := g.dataDirs[address]
	if dataDir == "" {
		dataDir = g.t.TempDir()
		g.dataDirs[address] = dataDir
	}
	g.processes[address] = start(g.t, fleetdaemon.Config{
		Cluster: "test", Peer: address, TrustNetwork: true, Seeds: g.seeds, StopTimeout: 2 * time.Second,
		Lease:   fleetdaemon.LeaseConfig{AnnounceInterval: time.Second},
		Control: &fleetdaemon.ControlConfig{DataDir: dataDir, InitialVoters: initialVoters, ToleratedFailures: 2},
	})
}

func (g *controlGroup) stop(address string) {
	g.processes[address].stop()
	<-g.processes[address].done
	delete(g.processes, address)
}

// call calls the leader through any running process.
func (g *controlGroup) call(method string, params, result any) error {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	for _, p := range g.processes {
		return p.Leaders().CallLeader(ctx, method, params, result)
	}
	return fmt.Errorf("no process runs")
}

// complete reports whether the group has five voters that are all active, none
// of them with an id in replaced.
func (g *controlGroup) complete(replaced ...raft.ID) bool {
	for _, p := range g.processes {
		st, err := g.status(p)
		if err != nil || st.Role != "leader" || len(st.Voters) != 5 {
			continue
		}
		for _, v := range st.Voters {
			if !slices.Contains(st.Active, v) || slices.Contains(replaced, v) {
				return false
			}
		}
		return true
	}
	return false
}

func (g *controlGroup) status(p *process) (fleetnode.Status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	var st fleetnode.Status
	err := p.Leaders().CallReplica(ctx, p.cfg.Peer, fleetnode.MethodStatus, struct{}{}, &st)
	return st, err
}

// Guards against a group that does not bootstrap from its initial voters, does
// not add replicas that are not among them, loses acknowledged changes when
// two of five disks are lost, or needs an operator to replace the lost
// replicas.
func TestGroupBootstrapsAndReplacesLostReplicas(t *testing.T) {
	is := is.New(t)
	port := portOf(freeAddress(t))
	group := &controlGroup{t: t, dataDirs: map[string]string{}, processes: map[string]*process{}}
	var all []string
	for i := range 5 {
		all = append(all, net.JoinHostPort(fmt.Sprintf("127.0.100.%d", i+1), port))
	}
	group.seeds = all[:3]
	for _, a := range all {
		group.start(a, group.seeds)
	}
	await(t, "a group of five", func() bool { return group.complete() })
	var result fleet.Result
	is.NoErr(group.call(fleetnode.MethodPropose, fleetnode.ProposeRequest{ApplyDocument: &fleet.ApplyDocument{ChangeID: "c", Document: document(7), Text: []byte("text")}}, &result))
	is.Equal(result.Status, fleet.Accepted)
	var replaced []raft.ID
	for _, a := range all[:2] {
		st, err := group.status(group.processes[a])
		is.NoErr(err)
		replaced = append(replaced, st.ID)
	}
	for _, a := range all[:2] {
		group.stop(a)
		is.NoErr(os.RemoveAll(group.dataDirs[a]))
		delete(group.dataDirs, a)
	}
	for _, a := range all[:2] {
		group.start(a, nil)
	}
	await(t, "a group of five again", func() bool { return group.complete(replaced...) })
	// Two replicas that kept their disks stop; the replaced ones must have the
	// acknowledged change.
	for _, a := range all[2:4] {
		group.stop(a)
	}
	var read fleetnode.ReadDocumentReply
	is.NoErr(group.call(fleetnode.MethodRead, fleetnode.ReadDocumentRequest{ChangeID: "c"}, &read))
	is.Equal(read.Version, uint64(7))
	is.Equal(string(read.Text), "text")
	is.True(read.Accepted)
}
