package call

import (
	"context"
	"net/http/httptrace"
)

// maxTransportRetries is how often http.Transport may retry an idempotent request
// by itself when an idle connection turns out to be closed.
const maxTransportRetries = 1

// Connections counts the connections that http.Transport used for one try of a
// call.
type Connections struct {
	n      int
	cancel context.CancelFunc
}

// WatchConnections returns a context for one round trip of http.Transport and the
// count of the connections used in it. cancel must cancel ctx. It is called when
// http.Transport uses more than 1+maxTransportRetries connections: otherwise it
// could retry the request on every idle connection, outside the retry budget.
func WatchConnections(ctx context.Context, cancel context.CancelFunc) (context.Context, *Connections) {
	c := &Connections{cancel: cancel}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: c.gotConn}), c
}

func (c *Connections) gotConn(httptrace.GotConnInfo) {
	if c.n++; c.n > 1+maxTransportRetries {
		c.cancel()
	}
}

// Any reports whether the request was given a connection, so that the other end may
// have received it. It must not be called before the round trip has ended.
func (c *Connections) Any() bool { return c.n > 0 }
