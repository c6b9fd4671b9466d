package main

import (
	"fmt"
	"time"
)

// heldByTwo is the longest time for which two backends may hold the same keys.
const heldByTwo = 500 * time.Millisecond

// rounds is the largest number of crashes. One that meets a call or a request is noticed by
// the process beside the backend.
const rounds = 4

// runSameName plays backends that crash and are back at once under the id that they had,
// one after the other, where keys are granted by calls.
func runSameName(r *run) (broken bool, err error) {
	c, err := r.newCluster([]string{"zone-a", "zone-b", "zone-c"}, "request")
	if err != nil {
		return false, err
	}
	for i := range 5 {
		c.add(fmt.Sprintf("core-%d", i+1), c.zones[i%3], "", true)
	}
	const keepAlive = 2 * time.Second
	var backends []*backend
	for i := range 7 {
		m := c.add(fmt.Sprintf("sidecar-%d", i+1), c.zones[i%3], "finder", false)
		backends = append(backends, newBackend(c, m, fmt.Sprintf("i-%d", i+1), fmt.Sprintf("i-%d (first life)", i+1), true, 20*time.Millisecond, keepAlive))
	}
	if _, err := r.startDeployment(c, backends, "finder", "safe", true); err != nil {
		return false, err
	}
	cl := startClients(c, "GET", 4*time.Second, 1)
	defer cl.stop()
	// Some keys are far busier than others.
	cl.hot.Store(int64(backends[0].anyKey()))
	time.Sleep(10 * time.Second)
	if cl.served.Load() == 0 {
		return false, fmt.Errorf("no request was served")
	}
	w := watchKeys(r.rec, backends)
	defer w.stop()
	for _, b := range backends[:rounds] {
		cl.hot.Store(int64(b.anyKey()))
		b.awaitQuiet(900*time.Millisecond, 1300*time.Millisecond)
		if r.trouble {
			b.crash()
			time.Sleep(100 * time.Millisecond)
			next := newBackend(c, b.m, b.id, b.id+" (second life)", true, b.work, keepAlive)
			if err := next.listen(); err != nil {
				return false, err
			}
			w.add(next)
			// Its first heartbeat is late. It gets no answer within a second, so that the
			// backend sends the next one.
			go next.announce(3 * time.Second)
			go next.beat(time.Second)
		}
		time.Sleep(9 * time.Second)
		if w.longest() > heldByTwo {
			return true, nil
		}
	}
	return false, nil
}
