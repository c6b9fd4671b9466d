package main

import (
	"encoding/json"
	"fmt"
	"time"
)

func init() { cases["stray-heartbeat"] = strayHeartbeat }

// strayHeartbeat sends one sidecar process a heartbeat of another writer, in which fields
// are missing. The rule OWNER must hold: no two backends that are up hold the same keys for
// over half a second.
func strayHeartbeat(rec *recorder, dir string, trouble bool) (verdict, error) {
	s, err := begin(rec, dir, []string{"zone-a", "zone-b", "zone-c"}, 50*time.Millisecond, true)
	if s != nil {
		defer s.end()
	}
	if err != nil {
		return verdict{}, err
	}
	go s.clients.run(45, s.c.sidecars, s.stop)
	time.Sleep(5 * time.Second)
	served := s.clients.count("200")
	if trouble {
		if err := sendStray(s.c, s.c.sidecars[0]); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(8 * time.Second)
	rec.add("clients", "servedBefore", served, "servedAll", s.clients.count("200"))
	return judgeOwner(rec, s.backends), nil
}

// sendStray sends the heartbeat: it has no version, slots, coldRemaining, holds and released.
func sendStray(c *cluster, m *machine) error {
	body, err := json.Marshal(map[string]any{
		"address": m.at(c.ports.app), "born": time.Now().UnixMilli(),
		"info":   map[string]any{"service": m.service, "zone": m.zone},
		"status": map[string]any{"state": "ready", "seq": 1},
	})
	if err != nil {
		return cannotRun("%v", err)
	}
	_, ok := post("http://"+m.at(c.ports.control)+"/-/instances/i-other/heartbeat", body)
	c.rec.add("stray heartbeat", "to", m.name, "body", string(body), "acknowledged", ok)
	return nil
}

// judgeOwner looks for two backends that held the same keys for over half a second.
func judgeOwner(rec *recorder, backends []*backend) verdict {
	var all []span
	now := time.Now()
	for _, b := range backends {
		_, spans := b.history()
		for _, sp := range spans {
			if sp.end.IsZero() {
				sp.end = now
			}
			all = append(all, sp)
		}
	}
	worst, keys := time.Duration(0), 0
	for i, x := range all {
		for _, y := range all[i+1:] {
			if x.backend == y.backend || x.to < y.from || y.to < x.from {
				continue
			}
			begin, end := later(x.begin, y.begin), earlier(x.end, y.end)
			overlap := end.Sub(begin)
			if overlap <= 500*time.Millisecond {
				continue
			}
			shared := int(min(x.to, y.to)) - int(max(x.from, y.from)) + 1
			keys += shared
			rec.add("held twice", "keys", shared, "from", max(x.from, y.from), "by", x.backend, "fence", x.fence, "and", y.backend, "fence2", y.fence,
				"begin", begin.Sub(rec.begin), "for", overlap)
			worst = max(worst, overlap)
		}
	}
	return verdict{broken: keys > 0, seen: fmt.Sprintf("%d keys were held by two backends that are up for over 0.5 s, for %.2f s at most", keys, worst.Seconds())}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
