package operator

import (
	"net/http"
	"time"
)

// Limits of the operator listener. A document has at most 1 MiB; as a JSON string
// in a request it may be several times longer.
const (
	MaxBodyBytes      = 8 << 20
	maxHeaderBytes    = 32 << 10
	readHeaderTimeout = 5 * time.Second
	// readTimeout and writeTimeout limit slow clients. Replies of the control group
	// take a few seconds at most.
	readTimeout  = 30 * time.Second
	writeTimeout = 60 * time.Second
	idleTimeout  = 2 * time.Minute
)

// NewServer returns an HTTP server with the limits of the operator listener.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
	}
}
