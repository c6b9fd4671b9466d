package lease

import (
	"time"

	"bramleyquay.example/coord/clock"
)

// Holder is the member's side of a lease.
//
// Invariant: the lease starts at the moment a renewal was sent, never at the
// moment its answer arrived, so it ends before the tracker's view of it.
type Holder struct {
	cfg     Config
	pending map[uint64]clock.Reading
	next    uint64
	granted clock.Reading // send time of the newest acknowledged renewal
	held    bool
}

// pendingLimit bounds the renewals whose answers are awaited; older ones could
// only grant a lease that has already ended.
const pendingLimit = 16

// NewHolder returns a holder without a lease.
func NewHolder(cfg Config) *Holder {
	return &Holder{cfg: cfg, pending: map[uint64]clock.Reading{}}
}

// BeginRenewal records that a renewal is sent now and returns its sequence number.
func (h *Holder) BeginRenewal(now clock.Reading) uint64 {
	h.next++
	h.pending[h.next] = now
	delete(h.pending, h.next-pendingLimit)
	return h.next
}

// RecordGrant records that control acknowledged renewal seq. It reports whether
// the lease is valid afterwards.
func (h *Holder) RecordGrant(seq uint64, now clock.Reading) bool {
	sent, ok := h.pending[seq]
	if !ok {
		return h.Valid(now)
	}
	delete(h.pending, seq)
	if !h.held || sent.Since(h.granted) > 0 {
		h.granted, h.held = sent, true
	}
	return h.Valid(now)
}

// Revoke drops the lease at once, for a member whose incarnation control no
// longer accepts. Answers to earlier renewals are ignored.
func (h *Holder) Revoke() {
	h.held = false
	clear(h.pending)
}

// Remaining returns how long the lease is still valid; zero if it is not.
func (h *Holder) Remaining(now clock.Reading) time.Duration {
	if !h.held {
		return 0
	}
	return max(h.cfg.Duration-now.Since(h.granted), 0)
}

// Valid reports whether the lease is held now.
func (h *Holder) Valid(now clock.Reading) bool { return h.Remaining(now) > 0 }

// InContact reports whether control was heard from within the contact bound.
func (h *Holder) InContact(now clock.Reading) bool {
	return h.held && now.Since(h.granted) < h.cfg.ContactTimeout
}
