package daemon

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"bramleyquay.example/router/gate"
)

// maxAnnouncementBytes bounds the body of an announcement.
const maxAnnouncementBytes = 16 << 10

// platform serves the target beside this process: its announcements, and its
// own requests to other services, internal ones included.
func (d *Daemon) platform() http.Handler {
	requests := d.ingress.Internal()
	// http.ServeMux would redirect paths with dots or empty segments, which
	// belong to the target that is called.
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && r.URL.EscapedPath() == "/announce" {
			d.announce(w, r)
			return
		}
		requests.ServeHTTP(w, r)
	})
}

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
