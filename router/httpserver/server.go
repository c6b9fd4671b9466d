package httpserver

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"bramleyquay.example/router/logging"
	"bramleyquay.example/router/netopt"
)

// Server serves one listener.
type Server struct {
	handler Handler
	limits  func() Limits
	log     logging.Logger

	mu       sync.Mutex
	listener net.Listener
	conns    map[*conn]struct{}
	draining bool
	closing  bool
	empty    chan struct{}
}

// New returns a server. limits is asked for each request.
func New(h Handler, limits func() Limits, log logging.Logger) *Server {
	return &Server{handler: h, limits: limits, log: log, conns: map[*conn]struct{}{}, empty: make(chan struct{})}
}

// Listen opens the address.
func (s *Server) Listen(addr string) error {
	lc := net.ListenConfig{KeepAliveConfig: netopt.KeepAlive, Control: netopt.Control}
	l, err := lc.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return err
	}
	s.listener = l
	return nil
}

// Addr returns the listening address.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// acceptPause lies between two attempts to accept, for example when the
// process is out of descriptors.
const acceptPause = 10 * time.Millisecond

// Run accepts connections until Shutdown.
func (s *Server) Run() {
	for {
		raw, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.log.Warn().Err(err).Msg("connection not accepted")
			time.Sleep(acceptPause)
			continue
		}
		c := newConn(s, raw)
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		go c.run()
	}
}

func (s *Server) forget(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.noteEmpty()
}

// noteEmpty ends the wait of Shutdown. Until then new connections are taken, also
// after a moment without any.
func (s *Server) noteEmpty() {
	if !s.closing || len(s.conns) > 0 {
		return
	}
	select {
	case <-s.empty:
	default:
		close(s.empty)
	}
}

// Drain makes every connection, new ones too, end with the answer to the last
// request that was read by then.
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

// InFlight returns the number of requests that were read and not answered.
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

// Shutdown ends the listener and every idle connection and reads no further
// requests, then waits for the answers to the others until ctx ends.
func (s *Server) Shutdown(ctx context.Context) {
	_ = s.listener.Close() // a second close changes nothing
	s.Drain()
	s.mu.Lock()
	s.closing = true
	for c := range s.conns {
		c.endReading()
	}
	s.noteEmpty()
	s.mu.Unlock()
	select {
	case <-s.empty:
	case <-ctx.Done():
	}
}
