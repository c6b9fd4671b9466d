// Package main plays the cases of the review that are scripts: it starts the processes
// of the deploy file on loopback addresses, with stand-ins for backends, clients and the
// operator, and judges what these have seen. Exit codes: 0 the rule held, 1 it was
// broken, 2 the case could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

// run is one play of a case.
type run struct {
	root    string
	trouble bool
	rec     *record
	dir     string
	cluster *cluster
	// attempts is that of the route.
	attempts int
}

var cases = map[string]func(*run) (bool, error){
	"samename":     runSameName,
	"secondanswer": runSecondAnswer,
	"endless":      runEndless,
	"evacuation":   runEvacuation,
	"slowreader":   runSlowReader,
	"release":      runRelease,
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standins CASE ROOT RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

// maxTime bounds a play.
const maxTime = 110 * time.Second

func play(name, root, recordPath string) int {
	f, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = f.Close() }()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	r := &run{root: root, trouble: os.Getenv("TROUBLE") != "0", rec: &record{out: f, start: time.Now()}, dir: dir, attempts: 2}
	defer func() {
		if r.cluster != nil {
			r.cluster.stopAll()
		}
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(dir)
		} else {
			fmt.Println("logs:", dir)
		}
	}()
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := cases[name](r)
		done <- result{broken, err}
	}()
	select {
	case res := <-done:
		switch {
		case res.err != nil:
			r.rec.event("the case could not run: %v", res.err)
			fmt.Println("could not run:", res.err)
			return 2
		case res.broken:
			r.rec.event("the rule was broken")
			fmt.Println("the rule was broken")
			return 1
		}
		r.rec.event("the rule held")
		fmt.Println("the rule held")
		return 0
	case <-time.After(maxTime):
		r.rec.event("the case could not run: it took too long")
		fmt.Println("could not run: it took too long")
		return 2
	}
}

func (r *run) newCluster(zones []string, grants string) (*cluster, error) {
	c, err := newCluster(r.rec, r.root, r.dir, zones, grants)
	r.cluster = c
	return c, err
}

// startDeployment starts all processes and backends, and sends the first configuration
// until it is accepted.
func (r *run) startDeployment(c *cluster, backends []*backend, service, kind string, sharded bool) (*operator, error) {
	for _, b := range backends {
		if err := b.listen(); err != nil {
			return nil, err
		}
	}
	if err := c.startAll(); err != nil {
		return nil, err
	}
	for i, b := range backends {
		go b.beat(time.Duration(i) * heartbeat / time.Duration(len(backends)))
	}
	op := &operator{c: c}
	time.Sleep(1500 * time.Millisecond)
	if _, err := op.order(c.cores()[0], "/-/config/replace", "00000000", configuration("00000003", service, kind, sharded, r.attempts)); err != nil {
		return nil, err
	}
	if err := c.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	return op, nil
}
