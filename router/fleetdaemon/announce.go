package fleetdaemon

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"bramleyquay.example/coord/fleet"
	"bramleyquay.example/coord/grant"
	"bramleyquay.example/coord/ranges"
	"bramleyquay.example/router/callconn"
	"bramleyquay.example/router/fleetagent"
	"bramleyquay.example/router/memory"
)

// Paths of the HTTP calls that the target sends to its sidecar process.
const (
	PathAnnounce = "/v1/announce"
	PathLeave    = "/v1/leave"
)

// Announcement is the body of a target's call of PathAnnounce.
type Announcement struct {
	ID string `json:"id"`
	// Incarnation is the start of the target in Unix milliseconds.
	Incarnation int64  `json:"life"`
	Service     string `json:"service"`
	Address     string `json:"address"`
	// Slots is the number of requests that the target runs at once.
	Slots int `json:"slots"`
	// Sequence increases with each announcement of one incarnation.
	Sequence uint64 `json:"sequence"`
	Draining bool   `json:"draining,omitempty"`
	// ColdForMs is the time for which the target remains cold.
	ColdForMs int64 `json:"coldForMs,omitempty"`
	// Holds are the ranges that the target holds or still has requests on.
	// Released are those that it released since its last answered announcement. They
	// should have their fences: without it, a release is not recognized while grants of
	// an earlier start of the process may be in force.
	Holds    []Range `json:"holds"`
	Released []Range `json:"released"`
}

// Range is a range of keys, both ends included.
type Range struct {
	From  uint16 `json:"from"`
	To    uint16 `json:"to"`
	Fence uint64 `json:"fence,omitempty"`
	// Handover is the token that the last holder sent with its release.
	Handover string `json:"handover,omitempty"`
}

// AnnounceReply is the answer to an Announcement; it grants ranges.
type AnnounceReply struct {
	// Holds are all ranges that the target may hold. It is absent if there are
	// none. If HoldMs is 0 it is absent too, but the earlier grant stays in force
	// until it ends.
	Holds []Range `json:"holds,omitempty"`
	// HoldMs is the duration of the grant in milliseconds from the sending of
	// the announcement. Zero does not renew the earlier grant.
	HoldMs int64 `json:"holdMs"`
}

// maxAnnounceBytes is the largest accepted announcement. It has room for all
// ranges of a key space twice, as held and as released.
const maxAnnounceBytes = 1 << 20

// listenAnnounce opens the listener for the target's calls and serves them in
// a goroutine until the process ends.
func (d *Daemon) listenAnnounce(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return Error.Wrap(err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathAnnounce, d.announce)
	mux.HandleFunc("POST "+PathLeave, d.leave)
	go func() {
		if err := callconn.Serve(l, mux, d.connMemory, d.log); err != nil {
			d.log.Error().Str("address", address).Err(err).Msg("announcements are no longer accepted")
		}
	}()
	return nil
}

// decodeBody decodes the JSON body of a request. If that fails, it answers the
// request, with status 400 if it is malformed, and returns false.
func (d *Daemon) decodeBody(w http.ResponseWriter, r *http.Request, out any) bool {
	body, account, ok := memory.ReadRequest(d.callMemory, w, r, maxAnnounceBytes)
	if !ok {
		return false
	}
	defer account.Close()
	err := json.Unmarshal(body, out)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

// announce answers an announcement. One that is malformed or not from the
// target of this process gets status 400; one that is out of date gets
// HoldMs 0. One that says that the target drains gets status 503 if control has not
// recorded it yet: it is not acknowledged, although no new requests are sent.
func (d *Daemon) announce(w http.ResponseWriter, r *http.Request) {
	var a Announcement
	if !d.decodeBody(w, r, &a) {
		return
	}
	granted, result := d.agent.Announce(a.toAgent())
	switch result {
	case fleetagent.AnnounceForeign:
		http.Error(w, "not the target of this process", http.StatusBadRequest)
		return
	case fleetagent.AnnounceMalformed:
		http.Error(w, "not an announcement of a target", http.StatusBadRequest)
		return
	case fleetagent.AnnounceAccepted, fleetagent.AnnounceStale:
	}
	if a.Draining {
		if err := d.agent.RecordDraining(r.Context(), a.ID, a.Incarnation); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
	}
	reply := AnnounceReply{HoldMs: granted.Duration.Milliseconds()}
	for _, keyRange := range granted.Ranges {
		reply.Holds = append(reply.Holds, Range{From: keyRange.From, To: keyRange.To, Fence: keyRange.Fence, Handover: keyRange.HandoverToken})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(reply) // the target announces itself again
}

func (a *Announcement) toAgent() fleetagent.Announcement {
	return fleetagent.Announcement{
		ID: a.ID, Incarnation: a.Incarnation, Service: a.Service, Address: a.Address, Slots: a.Slots, Sequence: a.Sequence,
		Draining: a.Draining, ColdRemaining: time.Duration(a.ColdForMs) * time.Millisecond,
		Ranges: grant.RangeReport{Held: toRanges(a.Holds), Released: toRanges(a.Released)},
	}
}

func toRanges(list []Range) []ranges.Range {
	result := make([]ranges.Range, 0, len(list))
	for _, r := range list {
		result = append(result, ranges.Range{From: r.From, To: r.To, Fence: r.Fence, HandoverToken: r.Handover})
	}
	return result
}

// LeavingStatus returns the HTTP status for an error of Agent.TargetLeaving: 400 if the notice
// cannot be from a target, and otherwise 503: it is not acknowledged, although no new requests
// are sent.
func LeavingStatus(err error) int {
	if errors.Is(err, fleetagent.ErrMalformedID) {
		return http.StatusBadRequest
	}
	return http.StatusServiceUnavailable
}

// leave answers the notice of a target that it stops; see LeavingStatus.
func (d *Daemon) leave(w http.ResponseWriter, r *http.Request) {
	var a struct {
		ID          string `json:"id"`
		Incarnation int64  `json:"life"`
	}
	if !d.decodeBody(w, r, &a) {
		return
	}
	notice := fleet.Notice{Target: a.ID, Incarnation: a.Incarnation, Abandoned: !callconn.IsWaiting(r.Context())}
	if err := d.agent.TargetLeaving(r.Context(), notice); err != nil {
		http.Error(w, err.Error(), LeavingStatus(err))
	}
}
