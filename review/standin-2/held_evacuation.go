package main

import (
	"fmt"
	"time"
)

const (
	// slowHeartbeat is the interval of the site cascadia-hq.
	slowHeartbeat = 1500 * time.Millisecond
	evacuation    = 5 * time.Second
	// cutFor is how long a backend is partitioned from control.
	cutFor = 9 * time.Second
)

// heldEvacuation partitions one of four backends from control, not from the processes that send it
// requests, right after a heartbeat, and evacuates its zone. The backend must get no
// request later than `evacuation` after the acknowledgement.
func heldEvacuation(d *deployment, trouble bool) (bool, error) {
	d.heartbeat = slowHeartbeat
	if err := d.start(4, dividedService, dividedRoute); err != nil {
		return false, err
	}
	holders, err := d.startHolders()
	if err != nil {
		return false, err
	}
	for _, h := range holders {
		defer h.server.Close()
	}
	if err := awaitAllKeys(holders); err != nil {
		return false, err
	}
	for i, m := range d.sidecars {
		stop := d.sendRequests(m, i+1, true)
		defer stop()
	}
	time.Sleep(4 * time.Second)
	cut := holders[0]
	cut.setManual()
	time.Sleep(slowHeartbeat)
	cut.beat()
	if trouble {
		d.record.add("%s is partitioned from control: its heartbeats do not arrive", cut.id)
	}
	time.Sleep(100 * time.Millisecond)
	if err := d.evacuate(cut.machine.zone, "start"); err != nil {
		return false, err
	}
	acknowledged := time.Now()
	if !trouble {
		cut.resume()
	}
	time.Sleep(time.Until(acknowledged.Add(cutFor)))
	runs := cut.runsSince(acknowledged.Add(evacuation))
	d.record.add("%d requests reached %s later than evacuation after the acknowledgement", runs, cut.id)
	if holders[1].runsSince(acknowledged.Add(evacuation)) == 0 {
		return false, fmt.Errorf("a backend in another zone gets no requests")
	}
	return runs == 0, nil
}
