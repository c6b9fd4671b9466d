package peer

import (
	"context"
	"encoding/json"
	"net"
	"sync"

	"github.com/sourcegraph/jsonrpc2"
)

// Method answers one jsonrpc2 method. The connection can be kept to notify
// the peer later.
type Method func(ctx context.Context, conn *jsonrpc2.Conn, params json.RawMessage) (any, error)

// Server serves jsonrpc2 methods on authenticated connections.
type Server struct {
	mu      sync.RWMutex
	methods map[string]Method
}

// NewServer returns a server without methods.
func NewServer() *Server { return &Server{methods: map[string]Method{}} }

// Handle registers a method. A later registration replaces an earlier one.
func (s *Server) Handle(name string, m Method) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.methods[name] = m
}

// ServeConn serves one connection until it is closed.
func (s *Server) ServeConn(ctx context.Context, conn net.Conn) {
	handler := jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(s.dispatch).SuppressErrClosed())
	c := jsonrpc2.NewConn(ctx, jsonrpc2.NewBufferedStream(conn, frameCodec{}), handler, jsonrpc2.SetLogger(quiet{}))
	select {
	case <-c.DisconnectNotify():
	case <-ctx.Done():
		_ = c.Close()
	}
}

func (s *Server) dispatch(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	s.mu.RLock()
	m := s.methods[req.Method]
	s.mu.RUnlock()
	if m == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + req.Method}
	}
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	result, err := m(ctx, conn, params)
	return result, encodeError(err)
}

// Bind adapts a function with typed parameters to a Method. Parameters that
// do not decode are answered with an invalid-params error.
func Bind[P, R any](f func(context.Context, P) (R, error)) Method {
	return func(ctx context.Context, _ *jsonrpc2.Conn, raw json.RawMessage) (any, error) {
		var params P
		if err := json.Unmarshal(raw, &params); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		return f(ctx, params)
	}
}

// quiet drops the library's own messages; callers see the errors.
type quiet struct{}

// Printf implements jsonrpc2.Logger.
func (quiet) Printf(string, ...any) {}
