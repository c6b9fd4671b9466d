package quota

import "time"

// session is the leader's state of one incarnation of a process.
type session struct {
	incarnation uint64
	seq         uint64 // of the last report
	replySeq    uint64 // of the last report that got a reply with grants
	lastReply   time.Duration
	// needFull is set while the leader does not know what the process holds, except that
	// it is no more than the shares say.
	needFull bool
	shares   map[string]*share
	// countSentOnly disables the rule that a smaller allotment counts only once it is
	// confirmed. Only the test that shows that the rule is checked sets it.
	countSentOnly bool
}

// handshake is an incarnation of a process of which the leader has seen a report. It becomes
// the session of the process once a later report shows that it has applied the reply: a
// message of an incarnation that has ended may arrive late, but it answers nothing.
type handshake struct{ incarnation, seq uint64 }

// share returns the share of a limit and creates it if needed.
func (a *Allocator) share(s *session, name string) *share {
	sh := s.shares[name]
	if sh == nil {
		l := a.ledgers[name]
		if l == nil {
			// The process holds a limit that this leader's document does not have.
			l = &ledger{name: name, removed: true}
			a.ledgers[name] = l
		}
		sh = &share{session: s, ledger: l}
		s.shares[name] = sh
		l.shares = append(l.shares, sh)
		l.dirty = true
	}
	return sh
}

// forget removes a share without content.
func (s *session) forget(sh *share) {
	sh.ledger.remove(sh)
	delete(s.shares, sh.ledger.name)
}

// confirm ends the uncertainty about the last reply: the process has applied it, or
// ignores it from now on.
func (s *session) confirm(now time.Duration, applied bool) {
	for _, sh := range s.shares {
		if sh.held == sh.sent && sh.sentTokens == 0 && sh.sentFill == 0 {
			continue
		}
		void := 0.0
		sh.ledger.change(now, sh, func() {
			if applied {
				sh.held, sh.tokens = sh.sent, sh.tokens+sh.sentTokens
			} else {
				sh.sent, void = sh.held, sh.sentTokens+sh.sentFill
			}
			sh.sentTokens, sh.sentFill = 0, 0
		})
		sh.ledger.reserve.add(void)
	}
}

// end ends everything that the process holds.
func (s *session) end(now time.Duration) {
	for _, sh := range s.shares {
		sh.ledger.change(now, sh, func() {
			sh.held, sh.sent, sh.tokens, sh.sentTokens, sh.sentFill = Allotment{}, Allotment{}, 0, 0, 0
		})
		sh.demand, sh.waiting = 0, 0
	}
}

// close ends everything that the process holds and forgets its shares.
func (s *session) close(now time.Duration) {
	s.end(now)
	s.forgetAll()
}

func (s *session) forgetAll() {
	for _, sh := range s.shares {
		s.forget(sh)
	}
}

// replace replaces what the leader knows by a full report.
func (a *Allocator) replace(now time.Duration, s *session, items []Item) {
	listed := map[string]bool{}
	for _, item := range items {
		listed[item.Name] = true
		sh := a.share(s, item.Name)
		sh.ledger.change(now, sh, func() {
			sh.held = Allotment{}
			if item.Allotted != nil {
				sh.held = *item.Allotted
			}
			sh.sent, sh.tokens, sh.sentTokens = sh.held, item.Tokens, 0
		})
	}
	for name, sh := range s.shares {
		if !listed[name] {
			sh.ledger.change(now, sh, func() {
				sh.held, sh.sent, sh.tokens, sh.sentTokens = Allotment{}, Allotment{}, 0, 0
			})
			sh.demand, sh.waiting = 0, 0
		}
	}
}

// recordItem records what a report says of one limit.
func (a *Allocator) recordItem(now time.Duration, s *session, item Item, full bool) {
	sh := a.share(s, item.Name)
	if sh.demand != item.Demand {
		sh.demand = item.Demand
		sh.ledger.dirty = true
	}
	sh.waiting = item.Waiting
	if item.Refused > sh.refused {
		if !full {
			sh.ledger.refused += item.Refused - sh.refused
		}
		sh.refused = item.Refused
	}
	if item.Tokens < sh.tokens {
		sh.ledger.change(now, sh, func() { sh.tokens = max(item.Tokens, 0) })
	}
	if item.Returned > sh.returned {
		// A full report follows the start of the session or the end of its allotments,
		// with which the tokens were written off.
		if !full {
			sh.ledger.reserve.add(item.Returned - sh.returned)
		}
		sh.returned = item.Returned
	}
}
