package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

func init() { cases["route-name"] = routeName }

// routeName adds a route whose name has a semicolon, to a service that has been served
// before. The rule CONFIG must hold: a route that is added later is served at least a
// quarter as often as the first ones. All requests begin on machines of another service.
func routeName(rec *recorder, dir string, trouble bool) (verdict, error) {
	c, err := newCluster(rec, dir, 3, []string{"orders", "orders", "deposits", "deposits"}, []string{"zone-a", "zone-b", "zone-a", "zone-b"})
	if err != nil {
		return verdict{}, err
	}
	s := &scene{c: c, stop: make(chan struct{})}
	defer s.end()
	if err := c.startAll(); err != nil {
		return verdict{}, err
	}
	first := []route{
		{name: "r-orders", host: host, prefix: prefix, kind: "safe", service: "orders", timeout: 1500 * time.Millisecond},
		{name: "r-deposits", host: host, prefix: "/deposits/", kind: "safe", service: "deposits", timeout: 1500 * time.Millisecond},
	}
	if err := c.configure(first, nil); err != nil {
		return verdict{}, err
	}
	if err := c.awaitReady(10 * time.Second); err != nil {
		return verdict{}, err
	}
	for i, m := range c.sidecars {
		b := newBackend(c, m, fmt.Sprintf("i-0000000%d", i+1), 50*time.Millisecond, false)
		if err := b.start(0); err != nil {
			return verdict{}, err
		}
		s.backends = append(s.backends, b)
	}
	time.Sleep(3 * time.Second)
	name := "r-deposits-2"
	if trouble {
		name = "r-deposits;2"
	}
	if err := addRoute(c, name, "/deposits-2/", "deposits"); err != nil {
		return verdict{}, err
	}
	time.Sleep(4 * time.Second) // configApply, and some more
	old := newClients(c, host, "/deposits/", nil)
	added := newClients(c, host, "/deposits-2/", nil)
	stop := make(chan struct{})
	go old.run(20, c.sidecars[:2], stop)
	go added.run(20, c.sidecars[:2], stop)
	time.Sleep(6 * time.Second)
	close(stop)
	time.Sleep(3 * time.Second) // longer than the deadline of the last requests
	oldServed, oldAll := old.count("200"), int(old.next.Load())
	newServed, newAll := added.count("200"), int(added.next.Load())
	seen := fmt.Sprintf("on the first route %d of %d requests were served, on the route %q, which was added later, %d of %d", oldServed, oldAll, name, newServed, newAll)
	broken := newAll >= 20 && float64(newServed)/float64(newAll) < 0.25*float64(oldServed)/float64(oldAll)
	return verdict{broken: broken, seen: seen}, nil
}

// addRoute changes the configuration to one with a further route.
func addRoute(c *cluster, name, prefix, service string) error {
	body, err := json.Marshal(map[string]any{
		"version": "00000003",
		"upsert": map[string]any{"listeners": []any{map[string]any{"host": host, "rules": []any{map[string]any{
			"name": name, "routeType": "safe", "targetLatency": "600ms", "priority": 1, "match": map[string]any{"pathPrefix": prefix},
			"action": map[string]any{"service": service, "timeout": "1500ms", "attempts": 2},
		}}}}},
	})
	if err != nil {
		return cannotRun("%v", err)
	}
	status, _, err := c.order("POST", "/-/config/update", map[string]string{"Base-Version": "00000001", "Content-Type": "application/json"}, body, 8*time.Second)
	if err == nil && status != http.StatusOK {
		err = cannotRun("the change got status %d", status)
	}
	return err
}
