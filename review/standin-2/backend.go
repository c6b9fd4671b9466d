package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// backend is a sound backend of a service that is not divided by key.
type backend struct {
	machine *machine
	id      string
	service string
	born    int64
	server  *http.Server

	mu       sync.Mutex
	sequence int
	// stopped ends the heartbeats.
	stopped bool
	runs    []time.Time
}

func startBackend(m *machine, id, service string) (*backend, error) {
	b := &backend{machine: m, id: id, service: service, born: time.Now().UnixMilli()}
	l, err := net.Listen("tcp", m.address(m.deployment.ports.app))
	if err != nil {
		return nil, err
	}
	b.server = &http.Server{Handler: b}
	go func() { _ = b.server.Serve(l) }()
	go b.announce()
	return b, nil
}

// ServeHTTP runs a request that is addressed to this backend.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", b.id)
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if target := r.Header.Get("Target-Instance"); target != "" && target != b.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.mu.Lock()
	b.runs = append(b.runs, time.Now())
	b.mu.Unlock()
	b.machine.deployment.record.add("backend %s runs request %s", b.id, id)
	w.Header().Set("Response-Signature", "3e1b.07."+id)
	fmt.Fprintln(w, "answer to", id)
}

// nextHeartbeat returns the body of the next heartbeat.
func (b *backend) nextHeartbeat() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	text, _ := json.Marshal(map[string]any{
		"address": b.machine.address(b.machine.deployment.ports.app), "born": b.born,
		"info":   map[string]any{"service": b.service, "version": "v1", "zone": b.machine.zone, "slots": 12},
		"status": map[string]any{"state": "ready", "seq": b.sequence, "coldRemaining": "0ms"},
	})
	return string(text)
}

func (b *backend) announce() {
	for {
		b.mu.Lock()
		stopped := b.stopped
		b.mu.Unlock()
		if stopped {
			return
		}
		b.call("heartbeat", b.nextHeartbeat())
		time.Sleep(heartbeat)
	}
}

// call sends a call to the process on the same machine and returns its status, zero
// without an answer.
func (b *backend) call(name, body string) int {
	d := b.machine.deployment
	url := "http://" + b.machine.address(d.ports.control) + "/-/instances/" + b.id + "/" + name
	resp, err := d.client.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// deregister says that the backend leaves. It reports whether that was acknowledged; the
// backend serves on, and sends no further heartbeat.
func (b *backend) deregister() bool {
	b.mu.Lock()
	b.stopped = true
	b.mu.Unlock()
	text, _ := json.Marshal(map[string]any{"born": b.born})
	return b.call("deregister", string(text)) == http.StatusOK
}

// runsSince returns the times of the runs from a time on.
func (b *backend) runsSince(from time.Time) []time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []time.Time
	for _, t := range b.runs {
		if !t.Before(from) {
			list = append(list, t)
		}
	}
	return list
}
