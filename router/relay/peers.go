package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"bramleyquay.example/router/httpclient"
)

const (
	// hopDialTimeout bounds the connection to a peer: a few round trips.
	hopDialTimeout = 300 * time.Millisecond
	// hopIdle is the time for which an unused connection to a peer is kept.
	hopIdle = 20 * time.Second
	// hopBody bounds an answer's body in bytes.
	hopBody = 64 << 20
	// avoidFor is the time for which a peer that did not take a connection is
	// avoided.
	avoidFor = 500 * time.Millisecond
)

// peers holds the connections to the gates of other processes.
type peers struct {
	names HeaderNames
	// address gives the address of a process's gate.
	address func(process string) string

	mu      sync.Mutex
	clients map[string]*httpclient.Client
	avoided map[string]time.Time
}

func newPeers(names HeaderNames, address func(string) string) *peers {
	return &peers{names: names, address: address, clients: map[string]*httpclient.Client{}, avoided: map[string]time.Time{}}
}

func (p *peers) client(process string) *httpclient.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.clients[process]
	if c == nil {
		c = httpclient.New(httpclient.Config{
			Address: p.address(process), RequestIDHeader: p.names.RequestID,
			DialTimeout: hopDialTimeout, IdleTimeout: hopIdle, MaxBody: hopBody,
		})
		p.clients[process] = c
	}
	return c
}

// keep closes the connections to processes that are not listed.
func (p *peers) keep(listed map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for process, c := range p.clients {
		if !listed[process] {
			c.Close()
			delete(p.clients, process)
		}
	}
}

func (p *peers) avoid(process string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.avoided[process] = time.Now().Add(avoidFor)
}

func (p *peers) isAvoided(process string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(p.avoided[process])
}

// do runs one request at the gate of another process.
func (p *peers) do(ctx context.Context, process string, j *job) result {
	h := j.header.Clone()
	h.Set(headerHop, encodeJob(j, time.Now()))
	resp, err := p.client(process).Do(ctx, &httpclient.Request{
		Method: j.request.Method, URI: j.request.URI, Host: j.request.Host, Header: h, Body: j.request.Body, ID: j.id,
	})
	var unsent *httpclient.NotSentError
	if errors.As(err, &unsent) {
		p.avoid(process)
		return refused("peer: "+unsent.Cause.Error(), 0)
	}
	if err != nil {
		return result{kind: unknown, reason: "peer: " + err.Error(), reached: true}
	}
	r, ok := decodeResult(resp.Header.Get(headerHop))
	if !ok {
		return result{kind: unknown, reason: "peer: answer without outcome", reached: true}
	}
	resp.Header.Del(headerHop)
	if r.kind == done {
		r.response = resp
	}
	return r
}
