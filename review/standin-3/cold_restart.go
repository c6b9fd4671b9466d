package main

import (
	"fmt"
	"time"
)

func init() { cases["cold-restart"] = coldRestart }

// coldRestart restarts a backend under its id while its heartbeats arrive 2 s late. The rule
// FAILBACK must hold: a cold backend gets at most coldPerS x coldOverage + coldSlack = 11.9
// requests in one second.
func coldRestart(rec *recorder, dir string, trouble bool) (verdict, error) {
	s, err := begin(rec, dir, []string{"zone-a", "zone-b"}, 55*time.Millisecond, false)
	if s != nil {
		defer s.end()
	}
	if err != nil {
		return verdict{}, err
	}
	go s.clients.run(90, s.c.sidecars, s.stop)
	b := s.backends[0]
	beats := make(chan struct{}, 64)
	b.late = func() time.Duration {
		select {
		case beats <- struct{}{}:
		default:
		}
		if trouble {
			return 2 * time.Second
		}
		return 0
	}
	time.Sleep(5 * time.Second)
	for len(beats) > 0 {
		<-beats
	}
	<-beats
	time.Sleep(time.Second) // the last heartbeat of this life is on its way
	b.crash()
	time.Sleep(500 * time.Millisecond)
	if err := b.start(3 * time.Second); err != nil {
		return verdict{}, err
	}
	time.Sleep(6 * time.Second)
	runs, _ := b.history()
	var cold []transit
	for _, r := range runs {
		if r.cold {
			cold = append(cold, transit{sent: s.clients.sent(r.id), arrived: r.at})
		}
	}
	most := mostPerSecond(cold)
	return verdict{broken: float64(most) > 4.6*1.5+5, seen: fmt.Sprintf("the cold backend %s got %d requests in one second; 11.9 is the bound (%d while it was cold)", b.id, most, len(cold))}, nil
}

// transit is the way of a request from its client to a backend.
type transit struct{ sent, arrived time.Time }

// mostPerSecond returns the most requests that were sent and arrived inside a second.
func mostPerSecond(requests []transit) int {
	most := 0
	for _, first := range requests {
		n := 0
		for _, r := range requests {
			if !r.sent.Before(first.sent) && r.arrived.Before(first.sent.Add(time.Second)) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}
