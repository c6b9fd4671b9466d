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
	// A short interval and hold let leases of 3.6 s run out within a run.
	announceInterval = 300 * time.Millisecond
	maxHold          = 4 * time.Second
	// shutdownTimeout leaves 2.9 s for requests in progress after the notice.
	shutdownTimeout = 6 * time.Second
	serviceTime     = 8 * time.Millisecond
	// recoveryTimeout bounds the first service and the recovery after the last
	// fault: a lease, an election and the longest pauses between attempts.
	recoveryTimeout = 20 * time.Second
)

// cluster is the cluster under test.
type cluster struct {
	*harness.Fleet
	t      *testing.T
	client *fleetclient.Client
}

// newCluster describes a cluster at addresses that no other run on the machine
// uses. Nothing is started.
func newCluster(t *testing.T, seed uint64) *cluster {
	t.Helper()
	f, err := harness.NewFleet(harness.FleetLayout{
		Folder: t.TempDir(), Daemon: programFile("bramleyquay"), Standin: programFile("rangetarget"),
		Network:  fmt.Sprintf("127.%d.%d", 16+os.Getpid()%200, 1+seed%250),
		Replicas: 3, ToleratedFailures: 1,
		MemberServices: []string{"seats", "seats", "seats", "mail", "mail"}, KeyedServices: []string{"seats"},
		AnnounceInterval: announceInterval, MaxGrantTime: maxHold, ShutdownTimeout: shutdownTimeout, ServiceTime: serviceTime,
	})
	if err != nil {
		t.Fatal(err)
	}
	return &cluster{Fleet: f, t: t, client: fleetclient.New(f.Seeds(), []byte(f.Secret))}
}

// startAndAwaitService starts everything and waits until every member serves everything.
func (c *cluster) startAndAwaitService(document []byte) {
	c.t.Helper()
	if err := c.Start(); err != nil {
		c.t.Fatal(err)
	}
	c.await("the first document", func(ctx context.Context) error { _, err := c.apply(ctx, document, 0); return err })
	c.await("service of all keys", c.probe)
}

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
	c.t.Fatalf("%s: not within %s: %v", what, recoveryTimeout, err)
}

// close kills every process that the soak started.
func (c *cluster) close() {
	c.Stop()
	c.client.Close()
}
