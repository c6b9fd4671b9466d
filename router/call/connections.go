package call

import (
	"context"
	"net/http/httptrace"
)

// freeRepeats is how often http.Transport may send an idempotent request again
// by itself when an idle connection turns out to be closed.
const freeRepeats = 1

// Connections counts the connections that one try of a call was given.
type Connections struct {
	n      int
	cancel context.CancelFunc
}

// WatchConnections returns a context for one exchange of http.Transport.
// cancel must end ctx. It is called when http.Transport has repeated the
// request often enough: by itself it would send it on every idle connection,
// outside of the budget of repeats.
func WatchConnections(ctx context.Context, cancel context.CancelFunc) (context.Context, *Connections) {
	c := &Connections{cancel: cancel}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: c.got}), c
}

func (c *Connections) got(httptrace.GotConnInfo) {
	if c.n++; c.n > 1+freeRepeats {
		c.cancel()
	}
}

// Any reports whether there was a connection, so that the other end may have
// seen the request.
func (c *Connections) Any() bool { return c.n > 0 }
