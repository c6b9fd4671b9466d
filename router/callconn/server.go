package callconn

import (
	"net"
	"net/http"
	"time"

	"bramleyquay.example/router/logging"
	"bramleyquay.example/router/memory"
)

const (
	// maxHeaderBytes bounds the head of a call.
	maxHeaderBytes = 12 << 10
	// readAheadBytes is what net/http reads beyond that.
	readAheadBytes = 4 << 10
	// connBytes is the memory of an idle connection.
	connBytes = 16 << 10
	// headerTimeout bounds the time for sending a head, idleTimeout that between two
	// calls.
	headerTimeout = 5 * time.Second
	idleTimeout   = 30 * time.Second
)

// NewServer returns a server for the calls of targets and operators, whose handlers may
// use IsWaiting.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ConnContext: Context, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
}

// Serve serves h on l until l fails, with connections that share the memory of p.
func Serve(l net.Listener, h http.Handler, p *memory.Pool, log logging.Logger) error {
	charged := &memory.Listener{Listener: l, Pool: p, ConnBytes: connBytes, HeadBytes: maxHeaderBytes + readAheadBytes, Refused: func(c net.Conn) {
		log.Warn().Err(memory.ErrExhausted).Str("from", c.RemoteAddr().String()).Msg("connection closed")
	}}
	server := NewServer(h)
	server.ConnState = charged.ConnState
	return server.Serve(charged)
}
