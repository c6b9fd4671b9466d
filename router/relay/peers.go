package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"bramleyquay.example/router/httpclient"
	"bramleyquay.example/router/httpserver"
	"bramleyquay.example/router/memory"
)

const (
	// peerDialTimeout bounds connecting to a peer: a few round trips.
	peerDialTimeout = 300 * time.Millisecond
	// peerIdleTimeout is the time for which an idle connection to a peer can be
	// reused.
	peerIdleTimeout = 20 * time.Second
	// maxPeerBodyBytes bounds the body of a peer's answer.
	maxPeerBodyBytes = 64 << 20
	// avoidDuration is the time for which a peer is avoided after a request could
	// not be sent to it.
	avoidDuration = 500 * time.Millisecond
)

// peers holds the HTTP clients for the gates of other processes.
type peers struct {
	names HeaderNames
	// address returns the address of a process's gate.
	address func(process string) string

	mu           sync.Mutex
	clients      map[string]*httpclient.Client
	avoidedUntil map[string]time.Time
}

func newPeers(names HeaderNames, address func(string) string) *peers {
	return &peers{names: names, address: address, clients: map[string]*httpclient.Client{}, avoidedUntil: map[string]time.Time{}}
}

func (p *peers) client(process string) *httpclient.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.clients[process]
	if c == nil {
		c = httpclient.New(httpclient.Config{
			Address: p.address(process), RequestIDHeader: p.names.RequestID,
			DialTimeout: peerDialTimeout, IdleTimeout: peerIdleTimeout, MaxBody: maxPeerBodyBytes, UnreadHeader: httpserver.HeaderUnread,
		})
		p.clients[process] = c
	}
	return c
}

// closeUnlisted closes and removes the clients of processes that are not listed.
func (p *peers) closeUnlisted(listed map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for process, c := range p.clients {
		if !listed[process] {
			c.Close()
			delete(p.clients, process)
		}
	}
}

// avoid excludes a process from routing for avoidDuration.
func (p *peers) avoid(process string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.avoidedUntil[process] = time.Now().Add(avoidDuration)
}

func (p *peers) isAvoided(process string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(p.avoidedUntil[process])
}

// do sends a request to the gate of another process and returns its result. It
// blocks until the gate has answered or ctx ends.
func (p *peers) do(ctx context.Context, process string, req *routedRequest) result {
	h := req.header.Clone()
	h[headerHop] = encodeRouting(req, time.Now())
	h.Set(headerFingerprint, req.fingerprint.String())
	if req.account != "" {
		h.Set(headerAccount, req.account)
	}
	out := &httpclient.Request{Method: req.request.Method, URI: req.request.URI, Host: req.request.Host, Header: h, ID: req.id, Memory: req.request.Memory}
	hopBody(out, req)
	resp, err := p.client(process).Do(ctx, out)
	var unsent *httpclient.NotSentError
	if errors.As(err, &unsent) {
		return p.unsent(ctx, process, unsent)
	}
	if err != nil {
		return result{outcome: unknown, reason: withCause("peer", err), reached: true}
	}
	r, ok := hopResult(resp)
	if !ok {
		return result{outcome: unknown, reason: "peer: answer without outcome", reached: true}
	}
	resp.Header.Del(headerHop)
	if r.outcome == done {
		r.response = resp
	}
	return r
}

// unsent returns the result of a request that was not sent, or that the gate of the process
// says it has not read. The process is avoided, unless the cause is this request.
func (p *peers) unsent(ctx context.Context, process string, err *httpclient.NotSentError) result {
	var unread *httpclient.UnreadError
	if errors.As(err, &unread) {
		if r, ok := decodeHop(unread.Header.Values(headerHop)); ok && r.outcome == notRun {
			return r
		}
	}
	var invalid *httpclient.InvalidRequestError
	if ctx.Err() == nil && !errors.Is(err, memory.ErrExhausted) && !errors.As(err, &invalid) {
		p.avoid(process)
	}
	return refused(withCause("peer", err.Cause), 0)
}
