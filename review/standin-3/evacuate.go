package main

import (
	"fmt"
	"time"
)

func init() { cases["evacuate-late-heartbeats"] = evacuateLateHeartbeats }

// evacuateLateHeartbeats evacuates a zone while heartbeats of its backend do not arrive. The
// rule EVAC must hold: no request reaches the backend later than 5 s after the evacuation
// was acknowledged.
func evacuateLateHeartbeats(rec *recorder, dir string, trouble bool) (verdict, error) {
	s, err := begin(rec, dir, []string{"zone-a", "zone-b", "zone-c"}, 50*time.Millisecond, true)
	if s != nil {
		defer s.end()
	}
	if err != nil {
		return verdict{}, err
	}
	go s.clients.run(90, s.c.sidecars[1:], s.stop)
	time.Sleep(5 * time.Second)
	b := s.backends[0]
	cut, answered := make(chan struct{}), make(chan struct{}, 1)
	b.cut = func() bool { return isClosed(cut) }
	b.beaten = func(time.Time) {
		select {
		case answered <- struct{}{}:
		default:
		}
	}
	<-answered
	<-answered
	if trouble {
		close(cut)
		rec.add("heartbeats are cut", "of", b.id)
	}
	status, acked, err := s.c.order("POST", "/-/evacuations/"+b.m.zone+"/start", nil, nil, 4*time.Second)
	if err != nil {
		return verdict{}, err
	}
	if status/100 != 2 {
		return verdict{}, cannotRun("the evacuation got status %d", status)
	}
	time.Sleep(8 * time.Second)
	runs, _ := b.history()
	late, last := 0, time.Duration(0)
	for _, r := range runs {
		if after := r.at.Sub(acked); after > 5*time.Second {
			late++
			last = max(last, after)
			rec.add("late run", "request", r.id, "key", r.key, "afterAck", after)
		}
	}
	return verdict{broken: late > 0, seen: fmt.Sprintf("%d requests reached %s later than 5 s after the acknowledgement of the evacuation, the last one %.2f s after it", late, b.id, last.Seconds())}, nil
}
