package httpserver

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"
)

// ErrStopping is the cause with which EndRequests cancels the contexts of requests. It
// wraps context.Canceled.
var ErrStopping = fmt.Errorf("the process stops: %w", context.Canceled)

// IsStopping reports whether ctx has ended because this process stops.
func IsStopping(ctx context.Context) bool { return errors.Is(context.Cause(ctx), ErrStopping) }

// EndRequests cancels the contexts of the requests in progress, and of those that are
// read later, with the cause ErrStopping. Their handlers must return what is true then:
// the responses behind them on their connections are written after theirs. It does not
// block.
func (s *Server) EndRequests() { s.endRequests(ErrStopping) }

// HeaderUnread marks the response with which a server for peers closes a connection on
// which nothing is pending. It answers no request: the server has run no request of the
// connection since its last response and will run none, so that a peer whose request
// crosses the close knows that it has not run.
const HeaderUnread = "Bq-Unread"

const unreadResponse = "HTTP/1.1 503 Service Unavailable\r\n" + HeaderUnread + ": 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// writeUnread tells a peer that no further request is read, unless a response has said
// so. It is called once the reader and the writer have ended.
func (c *conn) writeUnread() {
	if !c.server.deferBodies || c.closeDecided || c.isBroken() {
		return
	}
	_ = c.raw.SetWriteDeadline(time.Now().Add(lingerTimeout)) // a failure shows at the write
	if _, err := io.WriteString(c.raw, unreadResponse); err != nil {
		c.broken.Store(true)
	}
}
