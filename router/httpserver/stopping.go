package httpserver

import (
	"context"
	"fmt"
)

// ErrStopping is the cause with which EndRequests cancels the contexts of requests. It
// wraps context.Canceled.
var ErrStopping = fmt.Errorf("the process stops: %w", context.Canceled)

// EndRequests cancels the contexts of the requests in progress, and of those that are
// read later, with the cause ErrStopping. Their handlers must return what is true then:
// the responses behind them on their connections are written after theirs. It does not
// block.
func (s *Server) EndRequests() { s.endRequests(ErrStopping) }
