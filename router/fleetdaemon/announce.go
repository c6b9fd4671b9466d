package fleetdaemon

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"bramleyquay.example/coord/grant"
	"bramleyquay.example/coord/ranges"
	"bramleyquay.example/router/fleetagent"
)

// Paths of the calls of the target beside the process.
const (
	PathAnnounce = "/v1/announce"
	PathLeave    = "/v1/leave"
)

// Announcement is what a target says of itself.
type Announcement struct {
	ID string `json:"id"`
	// Incarnation is the start of the target in Unix milliseconds.
	Incarnation int64  `json:"life"`
	Service     string `json:"service"`
	Address     string `json:"address"`
	// Slots is the number of requests that the target runs at once.
	Slots int `json:"slots"`
	// Sequence rises with each announcement of one life.
	Sequence uint64 `json:"sequence"`
	Draining bool   `json:"draining,omitempty"`
	// ColdForMs is the time for which the target remains cold.
	ColdForMs int64 `json:"coldForMs,omitempty"`
	// Holds are the ranges that the target holds or still works on; Released
	// those that it gave back since its last answered announcement.
	Holds    []Range `json:"holds"`
	Released []Range `json:"released"`
}

// Range is a range of keys, both ends included.
type Range struct {
	From  uint16 `json:"from"`
	To    uint16 `json:"to"`
	Fence uint64 `json:"fence,omitempty"`
	// Handover is the token that the last holder gave with its release.
	Handover string `json:"handover,omitempty"`
}

// AnnounceReply grants ranges.
type AnnounceReply struct {
	// Holds are all ranges that the target may hold; absent if HoldMs is 0.
	Holds []Range `json:"holds,omitempty"`
	// HoldMs counts from the sending of the announcement. Zero renews nothing.
	HoldMs int64 `json:"holdMs"`
}

// maxAnnounceBytes bounds one announcement: all ranges of a key space twice.
const maxAnnounceBytes = 1 << 20

// listenAnnounce serves the target's calls.
func (d *Daemon) listenAnnounce(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return Error.Wrap(err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathAnnounce, d.announce)
	mux.HandleFunc("POST "+PathLeave, d.leave)
	go func() {
		if err := http.Serve(l, mux); err != nil {
			d.log.Error().Str("address", address).Err(err).Msg("announcements are not taken")
		}
	}()
	return nil
}

func decodeBody(w http.ResponseWriter, r *http.Request, out any) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAnnounceBytes))
	if err == nil {
		err = json.Unmarshal(body, out)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

func (d *Daemon) announce(w http.ResponseWriter, r *http.Request) {
	var a Announcement
	if !decodeBody(w, r, &a) {
		return
	}
	granted, verdict := d.agent.Announce(a.report())
	if verdict == fleetagent.AnnounceForeign {
		http.Error(w, "not the target of this process", http.StatusBadRequest)
		return
	}
	reply := AnnounceReply{HoldMs: granted.Duration.Milliseconds()}
	for _, row := range granted.Ranges {
		reply.Holds = append(reply.Holds, Range{From: row.From, To: row.To, Fence: row.Fence, Handover: row.HandoverToken})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(reply) // the target announces itself again
}

func (a *Announcement) report() fleetagent.Announcement {
	return fleetagent.Announcement{
		ID: a.ID, Incarnation: a.Incarnation, Service: a.Service, Address: a.Address, Slots: a.Slots, Sequence: a.Sequence,
		Draining: a.Draining, ColdRemaining: time.Duration(a.ColdForMs) * time.Millisecond,
		Ranges: grant.RangeReport{Held: rows(a.Holds), Released: rows(a.Released)},
	}
}

func rows(list []Range) []ranges.Range {
	out := make([]ranges.Range, 0, len(list))
	for _, r := range list {
		out = append(out, ranges.Range{From: r.From, To: r.To, Fence: r.Fence, HandoverToken: r.Handover})
	}
	return out
}

func (d *Daemon) leave(w http.ResponseWriter, r *http.Request) {
	var a struct {
		ID string `json:"id"`
	}
	if decodeBody(w, r, &a) {
		d.agent.TargetLeaving(a.ID)
	}
}
