package soak

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"bramleyquay.example/router/fleetclient"
	"bramleyquay.example/router/harness"
)

const (
	// With this interval and grant time the lease is 3.6 s, so that leases expire
	// within a run: 2 announcement intervals and 3 s, but at most 0.9 of maxGrantTime
	// (fleetdaemon.LeaseConfig.Duration).
	announceInterval = 300 * time.Millisecond
	maxGrantTime     = 4 * time.Second
	// shutdownTimeout leaves 2.8 s for requests in progress after a stopping process
	// no longer accepts new ones: 6 s less the 2.2 s for which it still accepts them
	// and the last sixth, in which requests are ended (drainPeriod and lastShare of
	// package fleetdaemon).
	shutdownTimeout = 6 * time.Second
	serviceTime     = 8 * time.Millisecond
	// lateGrants is the share of the grants by calls that targets apply late.
	lateGrants = 0.05
	// lateCopies is the share of the targets' answers that are sent a second time.
	lateCopies = 0.02
	// recoveryTimeout bounds the time until all keys are served, after the start and
	// after the last fault: a lease, an election and the longest retry back-off.
	recoveryTimeout = 20 * time.Second
)

// cluster is the cluster under test, with a client of its control group.
type cluster struct {
	*harness.Fleet
	t      *testing.T
	client *fleetclient.Client
}

// newCluster returns a cluster whose addresses depend on the process id and the
// seed, so that runs on one machine do not collide. It starts no process.
func newCluster(t *testing.T, seed uint64, grantsByRequest bool) *cluster {
	t.Helper()
	f, err := harness.NewFleet(harness.FleetLayout{
		Folder: t.TempDir(), Daemon: programFile("bramleyquay"), Standin: programFile("rangetarget"),
		Network:  fmt.Sprintf("127.%d.%d", 16+os.Getpid()%200, 1+seed%250),
		Replicas: 3, ToleratedFailures: 1,
		MemberServices: []string{"seats", "seats", "seats", "mail", "mail"}, KeyedServices: []string{"seats"},
		AnnounceInterval: announceInterval, MaxGrantTime: maxGrantTime, ShutdownTimeout: shutdownTimeout, ServiceTime: serviceTime,
		GrantsByRequest: grantsByRequest, LateGrants: lateGrants, LateCopies: lateCopies,
	})
	if err != nil {
		t.Fatal(err)
	}
	return &cluster{Fleet: f, t: t, client: fleetclient.New(f.Seeds(), []byte(f.Secret))}
}

// startAndAwaitService starts all processes, applies the document and waits until
// every key is served through every member.
func (c *cluster) startAndAwaitService(document []byte) {
	c.t.Helper()
	if err := c.Start(); err != nil {
		c.t.Fatal(err)
	}
	c.await("the first document", func(ctx context.Context) error { _, err := c.apply(ctx, document, 0); return err })
	c.await("service of all keys", c.probe)
}

// await retries f until it succeeds, and fails the test after recoveryTimeout.
func (c *cluster) await(what string, f func(context.Context) error) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), recoveryTimeout)
	defer cancel()
	var err error
	for ctx.Err() == nil {
		if err = f(ctx); err == nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.t.Fatalf("%s: not reached within %s: %v", what, recoveryTimeout, err)
}

// close kills every process of the cluster and closes the client.
func (c *cluster) close() {
	c.Stop()
	c.client.Close()
}
