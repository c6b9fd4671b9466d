package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// scene is a running deployment of one service with its backends and clients.
type scene struct {
	c        *cluster
	backends []*backend
	clients  *clients
	stop     chan struct{}
}

const (
	host   = "orders.example"
	prefix = "/orders/"
)

// begin starts three control replicas and one sidecar machine with its backend for each
// zone, and waits until all of them serve. Backends come into service warm.
func begin(rec *recorder, dir string, zones []string, work time.Duration, sharded bool) (*scene, error) {
	services := make([]string, len(zones))
	for i := range services {
		services[i] = "orders"
	}
	c, err := newCluster(rec, dir, 3, services, zones)
	if err != nil {
		return nil, err
	}
	s := &scene{c: c, stop: make(chan struct{})}
	if err := c.startAll(); err != nil {
		return s, err
	}
	kind := route{name: "r-orders", host: host, prefix: prefix, kind: "safe", service: "orders", timeout: 1500 * time.Millisecond}
	if err := c.configure([]route{kind}, map[string]bool{"orders": sharded}); err != nil {
		return s, err
	}
	if err := c.awaitReady(10 * time.Second); err != nil {
		return s, err
	}
	for i, m := range c.sidecars {
		b := newBackend(c, m, fmt.Sprintf("i-%08x", rand.Uint32()), work, sharded)
		if err := b.start(0); err != nil {
			return s, err
		}
		s.backends = append(s.backends, b)
		go b.watch(s.stop)
		time.Sleep(time.Duration(i) * 100 * time.Millisecond)
	}
	var key func(int) int
	if sharded {
		key = func(n int) int { return n * 7919 % 65536 }
	}
	s.clients = newClients(c, host, prefix, key)
	return s, s.awaitService(sharded)
}

// awaitService waits until all keys are held and each backend holds some, or until a
// heartbeat of each backend was answered.
func (s *scene) awaitService(sharded bool) error {
	if !sharded {
		time.Sleep(2 * time.Second)
		return nil
	}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		sum, each := 0, true
		for _, b := range s.backends {
			n := b.heldKeys()
			sum += n
			each = each && n > 0
		}
		if each && sum == 65536 {
			return nil
		}
	}
	return cannotRun("the keys are not held by all backends")
}

func (s *scene) end() {
	close(s.stop)
	if s.clients != nil {
		s.clients.wait.Wait()
	}
	for _, b := range s.backends {
		b.crash()
	}
	s.c.stopAll()
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
