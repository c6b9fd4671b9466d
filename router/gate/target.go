package gate

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"bramleyquay.example/coord/config"
	"bramleyquay.example/coord/control"
	"bramleyquay.example/router/strictresponse"
)

// Announcement is the message by which a target registers with its sidecar process.
type Announcement struct {
	Service string `json:"service"`
	// Address is the target's HTTP address, a numeric IP and a port.
	Address      string `json:"address"`
	Slots        int    `json:"slots"`
	ChecksFences bool   `json:"checksFences,omitempty"`
	// Incarnation changes with every start of the target.
	Incarnation uint64 `json:"incarnation"`
}

// validate returns the fault of the announcement, or "".
func (a *Announcement) validate() string {
	addr, err := netip.ParseAddrPort(a.Address)
	fault := config.CheckName(a.Service)
	switch {
	case fault != "":
		return "service " + fault
	case err != nil || addr.Port() == 0:
		return "address is not a numeric IP and a port"
	case a.Slots < 1 || a.Slots > maxSlots:
		return "slots is not between 1 and 100000"
	case a.Incarnation == 0:
		return "incarnation is missing"
	default:
		return ""
	}
}

const (
	maxSlots = 100_000
	// dialTimeout bounds the connection to a target on the same instance.
	dialTimeout = time.Second
	// maxAnswerHeadBytes bounds the head of a target's answer, which is held in memory.
	maxAnswerHeadBytes = 64 << 10
)

// target is the target that announced itself, and the connections to it.
type target struct {
	Announcement
	transport *strictresponse.Transport
	// grants is a separate transport, so that requests cannot delay a grant.
	grants *strictresponse.Transport
	// ctx ends when the target is gone.
	ctx    context.Context
	cancel context.CancelFunc
}

func newTarget(a Announcement) *target {
	// One of the connections to the target is used for grants. A service with a lower
	// limit of connections gets fewer slots instead, see limits.
	connections := config.DefaultConnectionsPerTarget - 1
	transport := strictresponse.NewTransport(&http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		MaxIdleConns:        connections,
		// Connections stay open, because opening one costs about 1 ms.
		IdleConnTimeout:        0,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxAnswerHeadBytes,
	})
	grants := strictresponse.NewTransport(&http.Transport{MaxConnsPerHost: 1, MaxResponseHeaderBytes: maxAnswerHeadBytes})
	t := &target{Announcement: a, transport: transport, grants: grants}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	return t
}

// close cancels the requests at the target and closes its idle connections.
func (t *target) close() {
	t.cancel()
	t.transport.CloseIdleConnections()
	t.grants.CloseIdleConnections()
}

func (t *target) describe() *control.Target {
	return &control.Target{Service: t.Service, Slots: t.Slots, ChecksFences: t.ChecksFences, Incarnation: t.Incarnation}
}
