package peer

import (
	"context"
	"encoding/json"
	"net"
	"sync"

	"github.com/sourcegraph/jsonrpc2"

	"bramleyquay.example/router/memory"
)

// Method handles calls of one jsonrpc2 method. It may retain conn to send
// notifications to the peer later. Calls run concurrently.
type Method func(ctx context.Context, conn *jsonrpc2.Conn, params json.RawMessage) (any, error)

// Server serves jsonrpc2 methods on authenticated connections. It is safe for
// concurrent use.
type Server struct {
	memory *memory.Pool

	mu      sync.RWMutex
	methods map[string]Method
}

// NewServer returns a server without methods.
func NewServer() *Server { return &Server{methods: map[string]Method{}} }

// LimitMemory sets the memory that messages share while they are read. A connection with a
// message for which there is none ends. It must be called before ServeConn.
func (s *Server) LimitMemory(p *memory.Pool) { s.memory = p }

// Handle registers a method. It replaces an earlier registration of the name.
func (s *Server) Handle(name string, m Method) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.methods[name] = m
}

// ServeConn serves one connection. It blocks until the peer closes the connection
// or ctx ends, and closes it in the second case.
func (s *Server) ServeConn(ctx context.Context, conn net.Conn) {
	handler := jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(s.dispatch).SuppressErrClosed())
	c := jsonrpc2.NewConn(ctx, jsonrpc2.NewBufferedStream(conn, frameCodec{memory: s.memory}), handler, jsonrpc2.SetLogger(discardLogger{}))
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

// Bind adapts a function with typed parameters to a Method. If the parameters
// cannot be decoded, the Method returns an invalid-params error.
func Bind[P, R any](f func(context.Context, P) (R, error)) Method {
	return func(ctx context.Context, _ *jsonrpc2.Conn, raw json.RawMessage) (any, error) {
		var params P
		if err := json.Unmarshal(raw, &params); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		return f(ctx, params)
	}
}

// discardLogger discards the log messages of package jsonrpc2. Failed calls return
// their errors to the caller; the errors of notifications, of undecodable messages
// and of writing responses are lost.
type discardLogger struct{}

// Printf implements jsonrpc2.Logger.
func (discardLogger) Printf(string, ...any) {}
