package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// clients send requests at an even rate to the outbound addresses of machines, each without
// retries.
type clients struct {
	c      *cluster
	host   string
	prefix string
	keyed  bool
	// key returns the key of the next request.
	key  func(n int) int
	next atomic.Int64
	wait sync.WaitGroup
	http *http.Client

	mu       sync.Mutex
	statuses map[string]int
	sentAt   map[string]time.Time // by id
}

func newClients(c *cluster, host, prefix string, key func(n int) int) *clients {
	return &clients{c: c, host: host, prefix: prefix, keyed: key != nil, key: key, statuses: map[string]int{}, sentAt: map[string]time.Time{},
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, MaxIdleConns: 256}}}
}

// run sends requests at a rate per second until stop is closed.
func (s *clients) run(perSecond int, machines []*machine, stop <-chan struct{}) {
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		s.wait.Add(1)
		go func() {
			defer s.wait.Done()
			s.send(machines[i%len(machines)])
		}()
	}
}

// send sends one request and records its answer.
func (s *clients) send(m *machine) {
	n := int(s.next.Add(1))
	id := fmt.Sprintf("%08x%08x", n, time.Now().UnixNano()&0xffffffff)
	req, err := http.NewRequest("GET", "http://"+m.at(s.c.ports.outbound)+s.prefix+strconv.Itoa(n), nil)
	if err != nil {
		return
	}
	req.Host = s.host
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", "2500")
	key := -1
	if s.keyed {
		key = s.key(n)
		req.Header.Set("Shard-Key", strconv.Itoa(key))
	}
	s.mu.Lock()
	s.sentAt[id] = time.Now()
	s.mu.Unlock()
	s.c.rec.add("sent", "request", id, "to", m.name, "key", key)
	answer := "no answer"
	resp, err := s.http.Do(req)
	if err == nil {
		body, bodyErr := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		answer = strconv.Itoa(resp.StatusCode)
		if bodyErr != nil {
			answer += " broken"
		}
		s.c.rec.add("answered", "request", id, "status", answer, "bytes", len(body))
	} else {
		s.c.rec.add("answered", "request", id, "status", answer, "error", err)
	}
	s.mu.Lock()
	s.statuses[answer]++
	s.mu.Unlock()
}

func (s *clients) count(status string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.statuses[status]
}

// sent returns the time at which a request was sent.
func (s *clients) sent(id string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sentAt[id]
}
