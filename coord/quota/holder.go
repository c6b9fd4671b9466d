package quota

import (
	"maps"
	"slices"
	"time"
)

// Holder keeps what one incarnation of a process holds of all limits. It is not safe for
// concurrent use. Its times are readings of the boot clock, which also advances while the
// process or the machine stands still.
type Holder struct {
	cfg         Config
	incarnation uint64
	limits      map[string]Limit // of the process's view of the document
	accounts    map[string]*account
	seq         uint64
	term        uint64
	applied     uint64
	validUntil  time.Duration
	// full is set until the reply to a full report was applied.
	full bool
	// expiredSince is set if allotments have expired since the last report: the leader
	// does not know it, even if its reply is applied.
	expiredSince bool
	// reported are the items of the last report.
	reported []Item
	// left is set once the process has given up everything, leftReported in the reports
	// after it, and leftKnown once the leader has got one.
	left, leftReported, leftKnown bool
}

// account is what the process holds of one limit.
type account struct {
	allotted     Allotment
	bucket       bucket // the allotment, bounded by the limit in the process's view
	tokens       float64
	quick        float64 // usable until quickUntil
	quickUntil   time.Duration
	returned     float64
	demand       meter
	lastUse      time.Duration
	waiting      int
	refused      uint64
	refusedSince time.Duration // first refusal that was not reported, zero without one
	soon         bool          // see Grant.Soon
	// known is what the leader knows of the account.
	known Item
	// noTokenUntil is the time before which the leader expects to have no token.
	noTokenUntil time.Duration
	returns      schedule
}

// NewHolder returns the holder of a process that has just started. incarnation must be
// random and not zero.
func NewHolder(cfg Config, incarnation uint64) *Holder {
	start := incarnation>>32 | 1
	return &Holder{
		cfg: cfg, incarnation: incarnation, seq: start, applied: start,
		limits: map[string]Limit{}, accounts: map[string]*account{}, full: true,
	}
}

// SetLimits sets the limits of the process's view of the document. The process never
// uses more than them, whatever it was allotted.
func (h *Holder) SetLimits(now time.Duration, limits map[string]Limit) {
	h.limits = limits
	for name, a := range h.accounts {
		a.bucket.set(now, h.bounded(name, a.allotted))
	}
}

// HasLimit reports whether requests of an account need a token.
func (h *Holder) HasLimit(name string) bool {
	_, ok := h.limits[name]
	return ok
}

// IsActive reports whether the process has anything to report: there are limits, or it
// holds allotments of earlier ones.
func (h *Holder) IsActive(now time.Duration) bool {
	if h.left {
		return !h.leftKnown
	}
	return len(h.limits) > 0 || h.term > 0 && now < h.validUntil
}

// bounded returns an allotment as far as the limit of the process's view allows it.
func (h *Holder) bounded(name string, a Allotment) Allotment {
	limit, ok := h.limits[name]
	if !ok {
		return Allotment{}
	}
	limit = limit.effective()
	return Allotment{Rate: min(a.Rate, limit.Rate), Burst: min(a.Burst, limit.Burst)}
}

// account returns the state of an account and creates it if needed.
func (h *Holder) account(name string) *account {
	a := h.accounts[name]
	if a == nil {
		a = &account{}
		h.accounts[name] = a
	}
	return a
}

// Leave gives up everything that the process holds, because it stops. The leader learns of
// it from the next report.
func (h *Holder) Leave() {
	h.left = true
	clear(h.accounts)
}

// HasLeft reports whether the leader knows that the process has left.
func (h *Holder) HasLeft() bool { return h.leftKnown }

// expire ends everything that the process holds once its validity has passed.
func (h *Holder) expire(now time.Duration) {
	if h.term == 0 || now < h.validUntil {
		return
	}
	// Without allotments the term has no meaning any more. A control group that was set
	// up anew starts again with low terms.
	h.term, h.full, h.expiredSince = 0, true, true
	for _, a := range h.accounts {
		a.allotted, a.tokens = Allotment{}, 0
		a.bucket = bucket{at: now}
	}
}

// Report returns the report for the next renewal. Replies to earlier reports are ignored
// from now on.
func (h *Holder) Report(now time.Duration) Report {
	h.expire(now)
	h.seq++
	if h.left {
		h.leftReported = true
		return Report{Incarnation: h.incarnation, Seq: h.seq, Left: true}
	}
	h.expiredSince = false
	r := Report{Incarnation: h.incarnation, Seq: h.seq, Term: h.term, Applied: h.applied, Full: h.full}
	for _, name := range slices.Sorted(maps.Keys(h.accounts)) {
		a := h.accounts[name]
		item, due := a.item(now, name, h)
		if due {
			r.Items = append(r.Items, item)
		}
		if !due && item == (Item{Name: name, Returned: a.returned}) && a.known == item && a.allotted.IsZero() {
			h.forget(name, a)
		}
	}
	h.reported = r.Items
	return r
}

// forget removes an account without demand. The count of returned tokens must be
// retained, because the leader compares it with the last one.
func (h *Holder) forget(name string, a *account) {
	if a.returned == 0 && a.refusedSince == 0 && a.returns.last < a.lastUse+maxRetry {
		delete(h.accounts, name)
	}
}

// refusedInterval is the longest time after which refusals are reported. They are for
// operators only.
const refusedInterval = 5 * time.Second

// demandStep is the relative change of a demand that is reported. Smaller ones are within
// the headroom of the division.
const demandStep = 0.25

// item returns the report of an account, and whether it is due.
func (a *account) item(now time.Duration, name string, h *Holder) (Item, bool) {
	if a.tokens > 0 && now-a.lastUse > h.cfg.ReturnAfter {
		a.returned += a.tokens
		a.tokens = 0
	}
	demand, known := roundDemand(a.demand.value(now)), a.known.Demand
	if !h.full && (demand == 0) == (known == 0) && demand < known*(1+demandStep) && demand > known*(1-demandStep) {
		demand = known
	}
	item := Item{Name: name, Demand: demand, Waiting: a.waiting, Tokens: a.tokens, Returned: a.returned}
	due := a.waiting > 0 || item != a.known
	due = due || a.refusedSince > 0 && now-a.refusedSince > refusedInterval
	if h.full {
		due = item != Item{Name: name}
		if !a.allotted.IsZero() {
			allotted := a.allotted
			item.Allotted, due = &allotted, true
		}
	}
	if due {
		item.Refused, a.refusedSince = a.refused, 0
	}
	return item, due
}

// Apply applies the reply to a renewal that was sent at the time sent. It reports whether
// the process should renew at once, because the leader asks for a full report.
func (h *Holder) Apply(now, sent time.Duration, reply Reply) (renewNow bool) {
	if h.left {
		h.leftKnown = h.leftKnown || h.leftReported && reply.Seq == h.seq
		return false
	}
	until := sent + h.cfg.Validity
	if reply.Seq != h.seq || reply.Seq <= h.applied || reply.Term < h.term || now >= until {
		return false
	}
	h.expire(now)
	h.term, h.applied = reply.Term, reply.Seq
	if reply.Resync {
		h.full = true
		// What the process holds keeps its end; without any, the term is valid as long
		// as it would be with.
		if h.holdsNothing() {
			h.validUntil = until
		}
		return true
	}
	h.validUntil = until
	h.full = h.expiredSince
	for _, item := range h.reported {
		item.Waiting, item.Refused, item.Allotted = 0, 0, nil
		h.account(item.Name).known = item
	}
	for _, g := range reply.Grants {
		h.applyGrant(now, sent, g)
	}
	return false
}

func (h *Holder) applyGrant(now, sent time.Duration, g Grant) {
	a := h.account(g.Name)
	if g.Allotment != nil {
		a.allotted = *g.Allotment
		a.bucket.set(now, h.bounded(g.Name, a.allotted))
	}
	a.bucket.add(g.Fill)
	a.quick, a.quickUntil = g.Quick, sent+quickTime
	if g.Drop {
		a.returned, a.tokens = a.returned+a.tokens, 0
	}
	a.tokens += g.Tokens
	a.known.Tokens += g.Tokens
	a.noTokenUntil = now + time.Duration(g.WaitMs)*time.Millisecond
	a.soon = g.Soon
	if g.Tokens > 0 {
		a.lastUse = max(a.lastUse, now)
	}
}

func (h *Holder) holdsNothing() bool {
	for _, a := range h.accounts {
		if a.tokens > 0 || !a.allotted.IsZero() {
			return false
		}
	}
	return true
}
