package main

import (
	"fmt"
	"net/http"
	"time"
)

// smallMemoryMB is the memory of a machine with a backend in the site pds-quito-grown.
const smallMemoryMB = 184

// runEndless plays a backend that answers a few requests with bytes without end, beside a
// process with little memory.
func runEndless(r *run) (broken bool, err error) {
	c, err := r.newCluster([]string{"zone-a", "zone-b", "zone-c"}, "heartbeat")
	if err != nil {
		return false, err
	}
	c.memoryMB = smallMemoryMB
	for i := range 5 {
		c.add(fmt.Sprintf("core-%d", i+1), c.zones[i%3], "", true)
	}
	var backends []*backend
	for i := range 7 {
		m := c.add(fmt.Sprintf("sidecar-%d", i+1), c.zones[i%3], "donativos", false)
		backends = append(backends, newBackend(c, m, fmt.Sprintf("i-%d", i+1), fmt.Sprintf("i-%d", i+1), false, 300*time.Millisecond, 0))
	}
	faulty := backends[0]
	if r.trouble {
		faulty.faults = faults{endless: 0.02}
	}
	faulty.raw = true
	if _, err := r.startDeployment(c, backends, "donativos", "unsafe", false); err != nil {
		return false, err
	}
	stop := c.watchMemory(faulty.m)
	defer stop()
	cl := startClients(c, http.MethodPost, 100*time.Millisecond, 8)
	time.Sleep(50 * time.Second)
	cl.stop()
	if cl.served.Load() == 0 {
		return false, fmt.Errorf("no request was served")
	}
	atSound := map[string]bool{}
	for _, b := range backends[1:] {
		for _, a := range b.arrivedAfter(time.Time{}) {
			atSound[a.id] = true
		}
	}
	lost := 0
	for _, id := range cl.cutOffAt(faulty.m) {
		if atSound[id] {
			lost++
			r.rec.event("request %s reached a sound backend, and its kept connection ended without an answer", id)
		}
	}
	r.rec.event("LOST: %d requests that a sound backend had got ended without an answer on their kept connections at %s, %d are allowed", lost, faulty.m.name, cutOffAllowed)
	return lost > cutOffAllowed, nil
}
