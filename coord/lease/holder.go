package lease

import (
	"time"

	"bramleyquay.example/coord/clock"
)

// Holder is the member's side of a lease. It is not safe for concurrent use.
//
// Invariant: a lease counts from the time at which its renewal was sent, never from
// the arrival of the reply, so it ends before the tracker considers it expired.
type Holder struct {
	cfg         Config
	pending     map[uint64]clock.Reading
	lastSeq     uint64
	grantedFrom clock.Reading // send time of the newest granted renewal
	granted     bool          // a renewal was granted since the last Revoke
}

// maxPending bounds the retained renewals without a reply. At the default
// RenewInterval they cover 4 s, which is longer than a lease. A reply to an older
// renewal is ignored: if renewals are retried faster, that may delay a lease, but it
// never extends one.
const maxPending = 16

// NewHolder returns a holder without a lease.
func NewHolder(cfg Config) *Holder {
	return &Holder{cfg: cfg, pending: map[uint64]clock.Reading{}}
}

// BeginRenewal records that a renewal is sent now and returns its sequence number.
func (h *Holder) BeginRenewal(now clock.Reading) uint64 {
	h.lastSeq++
	h.pending[h.lastSeq] = now
	delete(h.pending, h.lastSeq-maxPending)
	return h.lastSeq
}

// RecordGrant records that the control leader granted renewal seq. It reports
// whether the lease is valid afterwards. An unknown or already granted seq changes
// nothing.
func (h *Holder) RecordGrant(seq uint64, now clock.Reading) bool {
	sent, ok := h.pending[seq]
	if !ok {
		return h.Valid(now)
	}
	delete(h.pending, seq)
	if !h.granted || sent.Since(h.grantedFrom) > 0 {
		h.grantedFrom, h.granted = sent, true
	}
	return h.Valid(now)
}

// Revoke ends the lease immediately. A member calls it when the control leader no
// longer accepts its incarnation. Replies to earlier renewals are ignored.
func (h *Holder) Revoke() {
	h.granted = false
	clear(h.pending)
}

// Remaining returns the time until the lease ends; zero if it is not valid.
func (h *Holder) Remaining(now clock.Reading) time.Duration {
	if !h.granted {
		return 0
	}
	return max(h.cfg.Duration-now.Since(h.grantedFrom), 0)
}

// Valid reports whether the lease is valid at now.
func (h *Holder) Valid(now clock.Reading) bool { return h.Remaining(now) > 0 }

// InContact reports whether the newest granted renewal was sent less than
// ContactTimeout ago.
func (h *Holder) InContact(now clock.Reading) bool {
	return h.granted && now.Since(h.grantedFrom) < h.cfg.ContactTimeout
}
