// Package admin serves metrics, the state dump and health of a process.
package admin

import (
	"encoding/json"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
)

// Dumper gives the whole state of a process, without secrets.
type Dumper interface {
	Dump() any
	// Healthy returns nil, or why the process cannot serve.
	Healthy() error
}

// Handler serves /metrics, /dump and /healthz.
func Handler(d Dumper) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(w, true)
	})
	mux.HandleFunc("GET /dump", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		_ = e.Encode(d.Dump()) // the reader may have gone away
	})
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		if err := d.Healthy(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ok\n")) // the reader may have gone away
	})
	return mux
}
