package main

import (
	"fmt"
	"net/http"
	"os"
	"time"
)

// runSecondAnswer plays a backend of a divided service that sheds requests and sends some
// of its answers twice, under requests that may run once at most.
func runSecondAnswer(r *run) (broken bool, err error) {
	if os.Getenv("ATTEMPTS") == "3" {
		r.attempts = 3 // beside the case: shows what a route with three attempts gives
	}
	c, err := r.newCluster([]string{"zone-a", "zone-b", "zone-c"}, "heartbeat")
	if err != nil {
		return false, err
	}
	for i := range 5 {
		c.add(fmt.Sprintf("core-%d", i+1), c.zones[i%3], "", true)
	}
	var backends []*backend
	for i := range 7 {
		m := c.add(fmt.Sprintf("sidecar-%d", i+1), c.zones[i%3], "ledger", false)
		backends = append(backends, newBackend(c, m, fmt.Sprintf("i-%d", i+1), fmt.Sprintf("i-%d", i+1), true, 60*time.Millisecond, 0))
	}
	b := backends[0]
	if r.trouble {
		b.faults = faults{shed: 0.2, extra: 0.03, extraDelay: 20 * time.Millisecond}
	}
	b.raw = true
	if _, err := r.startDeployment(c, backends, "ledger", "unsafe", true); err != nil {
		return false, err
	}
	cl := startClients(c, http.MethodPost, 60*time.Millisecond, 1)
	cl.hot.Store(int64(b.anyKey()))
	time.Sleep(90 * time.Second)
	cl.stop()
	if cl.served.Load() == 0 {
		return false, fmt.Errorf("no request was served")
	}
	ran := map[string]int{}
	for _, b := range backends {
		for _, a := range b.arrivedAfter(time.Time{}) {
			ran[a.id]++
		}
	}
	twice := 0
	for id, n := range ran {
		if n > 1 {
			twice++
			r.rec.event("request %s has run %d times", id, n)
		}
	}
	refused := 0
	for _, id := range cl.promised() {
		if ran[id] > 0 {
			refused++
			r.rec.event("request %s was answered 429 or 503 and has run", id)
		}
	}
	r.rec.event("REFUSED: %d of %d requests were answered 429 or 503 and have run", refused, cl.sent.Load())
	r.rec.event("TWICE: %d requests have run more than once", twice)
	return refused > 0, nil
}
