package quota

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Allocator is the control leader's side: it divides the limits by demand. Its state is
// volatile and starts anew with each term. It must be used only while the replica may
// answer as leader. It is not safe for concurrent use. Times are readings of the boot
// clock.
//
// Invariant: the rates and the bursts that may be in force at processes, and those of the
// reserve, are together no larger than the limit.
type Allocator struct {
	cfg     Config
	term    uint64
	started time.Duration
	// observedSince is the time from which no process can have renewed unnoticed.
	observedSince time.Duration
	registrations registrations
	// awaited are the incarnations that may hold parts of limits and have not reported in
	// this term, by process.
	awaited    map[string]uint64
	sessions   map[string]*session  // by process
	handshakes map[string]handshake // by process
	ledgers    map[string]*ledger   // by name of the limit
	// left are the incarnations that have ended by themselves, by process.
	left map[string]uint64
	// limitsSet is set after the first SetLimits of the term.
	limitsSet   bool
	lastExpired time.Duration
	// countSentOnly is for the test that removes a rule, see session.
	countSentOnly bool
}

// NewAllocator returns the allocator of a replica that does not lead.
func NewAllocator(cfg Config) *Allocator { return &Allocator{cfg: cfg} }

// Start begins a term. registered are the processes that may hold allotments of earlier
// leaders.
func (a *Allocator) Start(now time.Duration, term uint64, registered []Registration) {
	*a = Allocator{
		cfg: a.cfg, term: term, started: now, observedSince: now, awaited: map[string]uint64{},
		sessions: map[string]*session{}, handshakes: map[string]handshake{}, ledgers: map[string]*ledger{}, left: map[string]uint64{}, countSentOnly: a.countSentOnly,
	}
	a.SetRegistered(registered)
	for _, r := range registered {
		a.awaited[r.Address] = r.Incarnation
	}
}

// SetLimits sets the limits of the newest document. The first call of a term must give
// those of the document at its start.
func (a *Allocator) SetLimits(now time.Duration, limits map[string]Limit) {
	for name, limit := range limits {
		limit = limit.effective()
		l := a.ledgers[name]
		if l == nil {
			l = &ledger{name: name, reserve: bucket{at: now}}
			// Limits of the document at the start of the term may be in use already.
			l.restricted = !a.limitsSet && !a.settled(now)
			a.ledgers[name] = l
			if a.limitsSet {
				l.reserve.tokens = limit.Burst
				l.reserve.Burst = limit.Burst
			}
		}
		l.limit, l.removed, l.dirty = limit, false, true
		l.central, l.quick = a.cfg.isCentral(limit), a.cfg.isQuick(limit)
		l.adjustReserve(now)
	}
	for name, l := range a.ledgers {
		if _, ok := limits[name]; !ok && !l.removed {
			l.removed, l.removedAt, l.dirty = true, now, true
			l.adjustReserve(now)
		}
	}
	a.limitsSet = true
}

// HasLimits reports whether there is anything to divide or to take back.
func (a *Allocator) HasLimits() bool { return len(a.ledgers) > 0 }

// settled reports whether the leader knows everything that may be in force.
func (a *Allocator) settled(now time.Duration) bool {
	return len(a.awaited) == 0 || now-a.started > a.cfg.lost()
}

// Renew handles the report of a process. It returns nil if the report is old.
func (a *Allocator) Renew(now time.Duration, process string, r Report) *Reply {
	a.expire(now)
	if a.left[process] == r.Incarnation {
		return nil // a late report
	}
	s := a.sessions[process]
	if r.Left {
		return a.recordLeft(now, process, s, r)
	}
	if s == nil || s.incarnation != r.Incarnation {
		h := a.handshakes[process]
		if h.incarnation == r.Incarnation && r.Seq <= h.seq {
			return nil
		}
		if h.incarnation != r.Incarnation || r.Term != a.term || r.Applied != h.seq || !r.Full {
			a.handshakes[process] = handshake{incarnation: r.Incarnation, seq: r.Seq}
			return &Reply{Term: a.term, Seq: r.Seq, Resync: true}
		}
		s = a.establish(now, process, r.Incarnation)
	}
	if r.Seq <= s.seq || r.Term > a.term {
		return nil
	}
	s.seq = r.Seq
	// Replies to earlier reports have been applied by now or never will be.
	s.confirm(now, r.Applied == s.replySeq)
	if s.needFull && !r.Full || r.Term != a.term {
		s.needFull = true
		return &Reply{Term: a.term, Seq: r.Seq, Resync: true}
	}
	a.record(now, process, s, r)
	s.replySeq, s.lastReply = r.Seq, now
	return &Reply{Term: a.term, Seq: r.Seq, Grants: a.grants(now, process, s)}
}

// establish makes an incarnation the session of its process. An earlier one has ended.
func (a *Allocator) establish(now time.Duration, process string, incarnation uint64) *session {
	delete(a.handshakes, process)
	if old := a.sessions[process]; old != nil {
		old.close(now)
	}
	s := &session{incarnation: incarnation, needFull: true, shares: map[string]*share{}, countSentOnly: a.countSentOnly}
	a.sessions[process] = s
	return s
}

// record records the content of a report.
func (a *Allocator) record(now time.Duration, process string, s *session, r Report) {
	if r.Full {
		a.replace(now, s, r.Items)
		s.needFull = false
		a.recordHeard(now, process, s)
	}
	for _, sh := range s.shares {
		sh.waiting = 0
	}
	for _, item := range r.Items {
		a.recordItem(now, s, item, r.Full)
	}
}

// recordHeard ends the wait for a process: what it has reported is known from now on.
func (a *Allocator) recordHeard(now time.Duration, process string, s *session) {
	incarnation, ok := a.awaited[process]
	if !ok {
		return
	}
	delete(a.awaited, process)
	if incarnation == s.incarnation {
		for _, sh := range s.shares {
			c := sh.counted()
			sh.ledger.pool.Rate += c.Rate
			sh.ledger.pool.Burst += c.Burst
			sh.ledger.adjustReserve(now)
		}
	}
	a.release(now)
}

// release ends the restriction of limits once everything is known.
func (a *Allocator) release(now time.Duration) {
	if !a.settled(now) {
		return
	}
	for _, l := range a.ledgers {
		if l.restricted {
			l.restricted, l.dirty = false, true
			l.adjustReserve(now)
		}
	}
}

// expireInterval is the time between two looks for expired allotments.
const expireInterval = 50 * time.Millisecond

// expire ends the allotments of silent processes.
func (a *Allocator) expire(now time.Duration) {
	if now-a.lastExpired < expireInterval {
		return
	}
	a.lastExpired = now
	a.release(now)
	for process, s := range a.sessions {
		if !s.needFull && now-s.lastReply > a.cfg.lost() {
			s.end(now)
			s.needFull = true
		}
		if s.needFull && now-s.lastReply > a.cfg.SilentAfter {
			s.forgetAll()
			delete(a.sessions, process)
		}
	}
	for name, l := range a.ledgers {
		if l.isForgettable(now, a.cfg.lost()) {
			delete(a.ledgers, name)
		}
	}
}

// grants returns the changes for a process, and counts them.
func (a *Allocator) grants(now time.Duration, process string, s *session) []Grant {
	mayHold := a.registrations.mayHold(process, s.incarnation)
	var grants []Grant
	for _, name := range slices.Sorted(maps.Keys(s.shares)) {
		sh := s.shares[name]
		if sh.isIdle() {
			s.forget(sh)
			continue
		}
		sh.ledger.plan(now)
		if g, ok := sh.grant(now, mayHold); ok {
			grants = append(grants, g)
		}
	}
	return grants
}

// grant returns the change of one share, if there is one.
func (s *share) grant(now time.Duration, mayHold bool) (Grant, bool) {
	l, g := s.ledger, Grant{Name: s.ledger.name}
	next := s.sent
	if l.removed {
		next = Allotment{}
	} else if l.restricted {
		next.Rate, next.Burst = min(next.Rate, l.limit.Rate), min(next.Burst, l.limit.Burst)
	} else if mayHold {
		next = s.adjusted(l.free(), l.short)
	}
	if next != s.sent {
		l.reserve.advance(now)
		before := l.reserve.tokens
		l.change(now, s, func() { s.sent = next })
		g.Allotment = &next
		// Tokens that the smaller reserve cannot hold go to the process.
		s.sentFill = roundDown(min(before-l.reserve.tokens, next.Burst))
		g.Fill = s.sentFill
	}
	g.Drop = l.shouldDrop(s)
	if !mayHold || l.removed {
		return g, g.Allotment != nil || g.Drop
	}
	g.Quick, g.Tokens = l.tokensFor(now, s)
	if g.Quick+g.Tokens > 0 {
		l.reserve.tokens = max(l.reserve.tokens-g.Quick-g.Tokens, 0)
		l.change(now, s, func() { s.sentTokens = g.Tokens })
		s.turn += g.Quick + g.Tokens
		g.Soon = l.single && g.Tokens > 0 && l.reserve.Burst < 1
	} else if s.waiting > 0 && s.tokens == 0 {
		g.WaitMs = int64(math.Ceil(l.wait(now, s).Seconds() * 1000))
	}
	return g, g.Allotment != nil || g.Drop || g.Quick+g.Tokens > 0 || g.WaitMs > 0
}
