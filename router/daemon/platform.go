package daemon

import (
	"encoding/json"
	"net/http"

	"bramleyquay.example/router/gate"
)

// maxAnnouncementBytes bounds the body of an announcement.
const maxAnnouncementBytes = 16 << 10

// platform serves the target beside this process: its announcements, and its
// own requests to other services, internal ones included.
func (d *Daemon) platform() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /announce", d.announce)
	mux.Handle("/", d.ingress.Internal())
	return mux
}

func (d *Daemon) announce(w http.ResponseWriter, r *http.Request) {
	var a gate.Announcement
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&a); err != nil {
		http.Error(w, "the announcement cannot be read: "+err.Error(), http.StatusBadRequest)
		return
	}
	if problem := d.gate.Announce(a); problem != "" {
		http.Error(w, problem, http.StatusUnprocessableEntity)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
