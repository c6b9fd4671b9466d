package ingress

import (
	"context"
	"net"
	"net/http"
	"strings"
	"time"

	"bramleyquay.example/coord/balancer"
	"bramleyquay.example/coord/outcome"
	"bramleyquay.example/router/call"
	"bramleyquay.example/router/peer"
	"bramleyquay.example/router/strictresponse"
)

const (
	// maxIdlePerPeer bounds idle connections to one peer.
	maxIdlePerPeer = 64
	// maxIdleTotal bounds idle connections to all peers. Without the bound, a
	// process with 3,300 peers would hold many descriptors that it rarely uses.
	maxIdleTotal = 8_192
	// idleTimeout closes connections that are no longer used after a change of the
	// table.
	idleTimeout = 2 * time.Minute
)

// Forwarder sends calls to the gates of other processes. Its methods may be called
// concurrently.
type Forwarder struct{ transport *strictresponse.Transport }

// NewForwarder returns a forwarder that opens connections with d.
func NewForwarder(d *peer.Dialer) *Forwarder {
	return &Forwarder{transport: strictresponse.NewTransport(&http.Transport{
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			return d.Dial(ctx, addr, peer.ChannelHTTP)
		},
		MaxIdleConnsPerHost:    maxIdlePerPeer,
		MaxIdleConns:           maxIdleTotal,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: 64 << 10,
	})}
}

// Forward sends the call to the gate at addr and blocks until the answer's header
// has arrived or the call's deadline has passed. If the gate does not answer, the
// refusal has outcome.NotRun only if no connection was made, so that no byte can
// have reached the gate, or if its process says that it cannot read the request.
func (f *Forwarder) Forward(ctx context.Context, addr string, c *call.Call) (*call.Response, *balancer.GateLoad, *outcome.Refusal) {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	ctx, connections := call.WatchConnections(ctx, cancel)
	resp, err := f.transport.RoundTrip(call.HopRequest(ctx, c, addr))
	if err != nil {
		cancel()
		return nil, nil, forwardError(err, connections.Any())
	}
	load := parseLoad(resp.Header.Get(call.HeaderLoad))
	if refusal, ok := call.ReadRefusal(resp); ok {
		_ = resp.Body.Close()
		cancel()
		return nil, load, refusal
	}
	if resp.Header.Get(call.HeaderOutcome) != string(outcome.Done) {
		// The answer comes from the peer's HTTP library and not from its gate.
		_ = resp.Body.Close()
		cancel()
		if resp.StatusCode == http.StatusBadRequest || resp.StatusCode == http.StatusRequestHeaderFieldsTooLarge {
			return nil, load, outcome.NewNotRun(outcome.ReasonConnectionFailed, "the owner's process cannot read the request: "+resp.Status)
		}
		return nil, load, outcome.NewUnknown(outcome.ReasonConnectionFailed, "the owner's process answered without an outcome: "+resp.Status)
	}
	return &call.Response{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength,
		Replayed: resp.Header.Get(call.HeaderReplayed) != "",
		Body:     &call.CancelBody{ReadCloser: resp.Body, Cancel: cancel},
	}, load, nil
}

// forwardError returns the refusal for a failed exchange with a peer.
func forwardError(err error, connected bool) *outcome.Refusal {
	if !connected {
		return outcome.NewNotRun(outcome.ReasonConnectionFailed, "no connection to the owner: "+err.Error())
	}
	return outcome.NewUnknown(outcome.ReasonConnectionFailed, "the owner did not answer: "+err.Error())
}

// parseLoad parses a header of the form running/limit/queued. It returns nil if the
// header is malformed or a number exceeds about ten million.
func parseLoad(s string) *balancer.GateLoad {
	var l balancer.GateLoad
	fields := strings.Split(s, "/")
	if len(fields) != 3 {
		return nil
	}
	for i, into := range []*int{&l.Running, &l.Limit, &l.Queued} {
		if fields[i] == "" {
			return nil
		}
		for _, d := range fields[i] {
			if d < '0' || d > '9' || *into > 1<<20 {
				return nil
			}
			*into = *into*10 + int(d-'0')
		}
	}
	return &l
}
