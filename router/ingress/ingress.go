// Package ingress implements the ingress of control mode, the mode with hashed
// shards: the role that accepts a caller's request at any process, finds the owner
// or a target, and forwards the request to its gate.
package ingress

import (
	"context"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"bramleyquay.example/coord/balancer"
	"bramleyquay.example/coord/outcome"
	"bramleyquay.example/coord/table"
	"bramleyquay.example/router/call"
	"bramleyquay.example/router/logging"
	"bramleyquay.example/router/member"
)

// Membership is the part of the member agent that the ingress uses.
type Membership interface {
	View() *member.View
	// Changed returns a channel that is closed at the next change of the view.
	Changed() <-chan struct{}
	// LeaseRemaining returns the time for which the member's lease is still valid.
	LeaseRemaining() time.Duration
}

// LocalGate runs calls at the target of this process. *gate.Gate implements it.
type LocalGate interface {
	Do(ctx context.Context, c *call.Call) (*call.Response, *outcome.Refusal)
}

// RemoteGates forwards calls to the gates of other processes. *Forwarder implements
// it.
type RemoteGates interface {
	Forward(ctx context.Context, addr string, c *call.Call) (*call.Response, *balancer.GateLoad, *outcome.Refusal)
}

// Config is the configuration of the ingress of one process.
type Config struct {
	Self       table.MemberID
	DataCentre string
	// MaxWaiting bounds the requests that wait for an owner or a target. Each takes
	// up to about 100 KB for its buffered body and its goroutine.
	MaxWaiting int
	// Seed is the seed of the random choices of balancers and retry policies. The
	// choice of a random peer in followOwnerHints does not use it.
	Seed uint64
	// Stopper ends requests in progress before the process ends; nil for none.
	Stopper *call.Stopper
}

// DefaultMaxWaiting bounds the memory of waiting requests to about 100 MB.
const DefaultMaxWaiting = 1_000

// Ingress handles the requests of callers. Its methods may be called concurrently.
type Ingress struct {
	cfg     Config
	members Membership
	local   LocalGate
	remote  RemoteGates
	log     logging.Logger
	waiting chan struct{}

	mu       sync.Mutex
	services map[string]*service
}

// New returns an ingress that runs calls at the local gate or forwards them to
// remote ones.
func New(cfg Config, members Membership, local LocalGate, remote RemoteGates, log logging.Logger) *Ingress {
	return &Ingress{
		cfg: cfg, members: members, local: local, remote: remote, log: log,
		waiting:  make(chan struct{}, cfg.MaxWaiting),
		services: map[string]*service{},
	}
}

// Internal returns a handler with the same state that also accepts requests to
// internal services. It is for the listener that only targets use.
func (in *Ingress) Internal() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { in.serve(w, r, true) })
}

// ServeHTTP implements http.Handler for callers.
func (in *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) { in.serve(w, r, false) }

func (in *Ingress) serve(w http.ResponseWriter, r *http.Request, internal bool) {
	begin := time.Now()
	c, refusal := in.build(r, internal)
	if refusal == nil {
		refusal = c.Receive(w)
	}
	if refusal != nil {
		recordRequest("", begin, refusal)
		call.WriteRefusal(w, refusal)
		return
	}
	resp, refusal := in.cfg.Stopper.Do(r.Context(), func(ctx context.Context) (*call.Response, *outcome.Refusal) { return in.Do(ctx, c) })
	recordRequest(c.Service, begin, refusal)
	if refusal != nil {
		forCaller := *refusal
		forCaller.OwnerAddr, forCaller.OwnerEpoch = "", 0 // only for other processes
		call.WriteRefusal(w, &forCaller)
		return
	}
	call.WriteResponse(w, resp, nil)
}

// build returns the call of a request, with the service from its path and the key
// from its headers.
func (in *Ingress) build(r *http.Request, internal bool) (*call.Call, *outcome.Refusal) {
	name, path, raw, err := splitPath(r.URL)
	if err != nil {
		return nil, outcome.NewNotRun(outcome.ReasonBadRequest, "the path cannot be read: "+err.Error())
	}
	doc := in.members.View().Document
	if doc != nil && !internal {
		if s := doc.Service(name); s != nil && s.Internal {
			return nil, call.UnknownService(name)
		}
	}
	return call.Build(doc, call.Identity{
		Service: name, Key: r.Header.Get(call.HeaderKey),
		IdempotencyKey: r.Header.Get(call.HeaderIdempotencyKey),
		Path:           path, RawPath: raw,
	}, r)
}

// splitPath splits a path into the first segment, which names the service, and the
// rest, which it returns unescaped and as sent. It splits the path as sent, in
// which an escaped slash is no separator.
func splitPath(u *url.URL) (service, path, raw string, err error) {
	segment, rest, _ := strings.Cut(strings.TrimPrefix(u.EscapedPath(), "/"), "/")
	if service, err = url.PathUnescape(segment); err != nil {
		return "", "", "", err
	}
	raw = "/" + rest
	path, err = url.PathUnescape(raw)
	return service, path, raw, err
}

// Do sends a call to the gate that may run it and returns the answer. It retries
// where that is safe and blocks until the answer's header has arrived, at most
// until the call's deadline. The answer's body must be closed.
func (in *Ingress) Do(ctx context.Context, c *call.Call) (*call.Response, *outcome.Refusal) {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	var resp *call.Response
	var refusal *outcome.Refusal
	if c.Sharded() {
		resp, refusal = in.sendToOwner(ctx, c)
	} else {
		resp, refusal = in.sendToAnyTarget(ctx, c)
	}
	if refusal != nil {
		cancel()
		return nil, refusal
	}
	resp.Body = &call.CancelBody{ReadCloser: resp.Body, Cancel: cancel}
	return resp, nil
}

// send makes one try at a member.
func (in *Ingress) send(ctx context.Context, id table.MemberID, c *call.Call) (*call.Response, *balancer.GateLoad, *outcome.Refusal) {
	if id == in.cfg.Self {
		resp, refusal := in.local.Do(ctx, c)
		return resp, nil, refusal
	}
	m, ok := in.members.View().Directory.Member(id)
	if !ok {
		return nil, nil, outcome.NewNotRun(outcome.ReasonNoOwner, "the owner is not registered")
	}
	return in.remote.Forward(ctx, m.PeerAddr, c)
}

// service returns the balancer and the retry policy of a service.
func (in *Ingress) service(name string) *service {
	in.mu.Lock()
	defer in.mu.Unlock()
	s := in.services[name]
	if s == nil {
		s = newService(name, in.cfg)
		in.services[name] = s
	}
	return s
}
