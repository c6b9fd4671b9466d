package main

import (
	"fmt"
	"time"
)

// lastRound is the latest time at which a round may be begun; it takes less than 13 s.
const lastRound = 97 * time.Second

// runRelease plays backends that send some answers twice, where keys are granted by calls
// and zones are evacuated in turn.
func runRelease(r *run) (broken bool, err error) {
	c, err := r.newCluster([]string{"zone-a", "zone-b", "zone-c"}, "request")
	if err != nil {
		return false, err
	}
	for i := range 5 {
		c.add(fmt.Sprintf("core-%d", i+1), c.zones[i%3], "", true)
	}
	var all []*lateBackend
	var backends []*backend
	for i := range 9 {
		m := c.add(fmt.Sprintf("sidecar-%d", i+1), c.zones[i%3], "finder", false)
		name := fmt.Sprintf("i-%d", i+1)
		extra := 0.0
		if r.trouble && i < 5 {
			extra = 0.03
		}
		work := time.Duration(160+80*(i%4)) * time.Millisecond // backends differ in speed
		b := newLateBackend(newBackend(c, m, name, name, true, work, 0), extra)
		all, backends = append(all, b), append(backends, b.backend)
	}
	for _, b := range all {
		b.all = all
	}
	op, err := r.startDeployment(c, backends, "finder", "safe", true)
	if err != nil {
		return false, err
	}
	cl := startClients(c, "GET", 40*time.Millisecond, 7)
	for i := 0; time.Since(r.rec.start) < lastRound; i++ {
		if i%2 == 0 { // two zones, one after the other, in each spell
			time.Sleep(spellInterval - time.Since(r.rec.start)%spellInterval + time.Second)
		}
		zone := c.zones[i%3]
		if _, err := op.order(c.cores()[0], "/-/evacuations/"+zone+"/start", "", ""); err != nil {
			return false, err
		}
		time.Sleep(1800 * time.Millisecond)
		if _, err := op.order(c.cores()[0], "/-/evacuations/"+zone+"/finish", "", ""); err != nil {
			return false, err
		}
	}
	time.Sleep(spellLength)
	cl.stop()
	if cl.served.Load() == 0 {
		return false, fmt.Errorf("no request was served")
	}
	n := 0
	for _, b := range all {
		b.mu.Lock()
		n += b.atWork
		b.mu.Unlock()
	}
	r.rec.event("OWNER: %d keys were given to a backend while another was at work on them", n)
	return n > 0, nil
}
