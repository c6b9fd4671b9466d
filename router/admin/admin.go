// Package admin serves the metrics, state dump and health check of a process over
// HTTP, in clusters with hashed shards (coord/control).
package admin

import (
	"encoding/json"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
)

// Dumper provides the state and health of a process.
type Dumper interface {
	// Dump returns the state of the process, to be encoded as JSON. It must not
	// contain secrets.
	Dump() any
	// Healthy returns nil, or an error that says why the process cannot serve
	// requests.
	Healthy() error
}

// Handler returns a handler for GET /metrics (Prometheus text), /dump (JSON) and
// /healthz (200, or 503 with the reason).
func Handler(d Dumper) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(w, true)
	})
	mux.HandleFunc("GET /dump", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		_ = e.Encode(d.Dump()) // the client may have closed the connection
	})
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		if err := d.Healthy(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ok\n")) // the client may have closed the connection
	})
	return mux
}
