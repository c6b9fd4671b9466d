package httpserver

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"bramleyquay.example/router/logging"
	"bramleyquay.example/router/memory"
	"bramleyquay.example/router/netopt"
)

// Server serves HTTP/1.1 on one listener. Call Listen, then Run.
type Server struct {
	handler Handler
	limits  func() Limits
	log     logging.Logger
	// deferBodies leaves bodies unread whose sender awaits 100 Continue. It is set
	// for peers, which send no body after another answer.
	deferBodies bool
	// memory bounds what connections and requests take. Nil sets no bound.
	memory  *memory.Pool
	refusal Refusal
	// requests is the parent of the contexts of all connections.
	requests    context.Context
	endRequests context.CancelCauseFunc

	mu       sync.Mutex
	listener net.Listener
	conns    map[*conn]struct{}
	draining bool
	closing  bool
	// allClosed is closed when Shutdown was called and no connection is left.
	allClosed chan struct{}
}

// New returns a server that does not listen yet. limits is called for each request
// and must be safe for concurrent use.
func New(h Handler, limits func() Limits, log logging.Logger) *Server {
	s := &Server{handler: h, limits: limits, log: log, refusal: RefuseWithText, conns: map[*conn]struct{}{}, allClosed: make(chan struct{})}
	s.requests, s.endRequests = context.WithCancelCause(context.Background())
	return s
}

// NewForPeers returns a server like New that hands over requests before their bodies
// if the sender awaits 100 Continue. Such a sender must send no body after another
// answer.
func NewForPeers(h Handler, limits func() Limits, log logging.Logger) *Server {
	s := New(h, limits, log)
	s.deferBodies = true
	return s
}

// Refusal returns the response to a request that the server does not hand over, because it
// is malformed (status 400), exceeds the limits (413 or 431) or finds no memory (503). The
// request is nil if its head has not been read.
type Refusal func(status int, r *Request) *Response

// RefuseWithText is the Refusal of a server that has no other.
func RefuseWithText(status int, _ *Request) *Response {
	return TextResponse(status, http.StatusText(status))
}

// SetRefusal sets the response to requests that are not handed over; their connections are
// closed after it. It must be called before Run.
func (s *Server) SetRefusal(refusal Refusal) { s.refusal = refusal }

// LimitMemory sets the memory that connections and requests share. A request for which
// there is none is refused. A new connection is closed before anything is read from it. It
// must be called before Run.
func (s *Server) LimitMemory(p *memory.Pool) { s.memory = p }

// Listen opens the TCP listener on addr. Connections wait until Run is called.
func (s *Server) Listen(addr string) error {
	stall := writeTimeout
	if s.deferBodies {
		stall = netopt.UserTimeout
	}
	lc := net.ListenConfig{KeepAliveConfig: netopt.KeepAlive, Control: netopt.ControlWith(stall)}
	l, err := lc.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return err
	}
	s.listener = l
	return nil
}

// Addr returns the listening address.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// acceptRetryDelay is the wait after a failed accept, for example when the
// process is out of file descriptors.
const acceptRetryDelay = 10 * time.Millisecond

// Run accepts and serves connections. It blocks until Shutdown is called.
func (s *Server) Run() {
	for {
		raw, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.log.Warn().Err(err).Msg("accepting a connection failed")
			time.Sleep(acceptRetryDelay)
			continue
		}
		account := s.memory.Open()
		if err := account.Grow(connBytes); err != nil {
			account.Close()
			_ = raw.Close() // nothing was read
			s.log.Warn().Err(err).Str("from", raw.RemoteAddr().String()).Msg("connection closed")
			continue
		}
		c := newConn(s, raw, account)
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		go c.run()
	}
}

func (s *Server) removeConn(c *conn) {
	c.memory.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.signalIfAllClosed()
}

// signalIfAllClosed ends the wait of Shutdown if no connection is left. Before
// Shutdown it does nothing, because new connections may follow. The caller holds
// mu.
func (s *Server) signalIfAllClosed() {
	if !s.closing || len(s.conns) > 0 {
		return
	}
	select {
	case <-s.allClosed:
	default:
		close(s.allClosed)
	}
}

// Drain makes each connection, including later ones, close after a response that
// leaves no other request pending. Idle connections stay open until then. It
// does not block.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// InFlight returns the number of requests that were read and not yet answered.
func (s *Server) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c := range s.conns {
		n += int(c.pending.Load())
	}
	return n
}

func (s *Server) isClosing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing
}

// Shutdown closes the listener and the idle connections and reads no further
// requests. It blocks until the responses to the requests already read are
// written and all connections are closed, or until ctx ends.
func (s *Server) Shutdown(ctx context.Context) {
	_ = s.listener.Close() // a second close changes nothing
	s.Drain()
	s.mu.Lock()
	s.closing = true
	conns := slices.Collect(maps.Keys(s.conns))
	s.signalIfAllClosed()
	s.mu.Unlock()
	for _, c := range conns { // without mu, which connections take while they hold theirs
		c.endIdle()
	}
	select {
	case <-s.allClosed:
	case <-ctx.Done():
	}
}
