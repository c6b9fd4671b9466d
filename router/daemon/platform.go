package daemon

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"bramleyquay.example/router/gate"
)

// maxAnnouncementBytes bounds the body of a target's announcement.
const maxAnnouncementBytes = 16 << 10

// platformHandler returns the handler of the platform listener, which only the local
// target uses; this process is its sidecar. POST /announce announces the target. All
// other requests are the target's own requests to other services, including internal
// ones.
func (d *Daemon) platformHandler() http.Handler {
	requests := d.ingress.Internal()
	// http.ServeMux would redirect paths with dots or empty segments. They must
	// reach the called target unchanged.
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && r.URL.EscapedPath() == "/announce" {
			d.announce(w, r)
			return
		}
		requests.ServeHTTP(w, r)
	})
}

// announce passes an announcement to the gate. It refuses one that cannot be
// decoded completely or that the gate rejects.
func (d *Daemon) announce(w http.ResponseWriter, r *http.Request) {
	var a gate.Announcement
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	dec.DisallowUnknownFields()
	err := dec.Decode(&a)
	if err == nil {
		if _, end := dec.Token(); end != io.EOF {
			err = errors.New("something follows it")
		}
	}
	if err != nil {
		http.Error(w, "the announcement cannot be read: "+err.Error(), http.StatusBadRequest)
		return
	}
	if problem := d.gate.Announce(a); problem != "" {
		http.Error(w, problem, http.StatusUnprocessableEntity)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
