package fleet

import (
	"slices"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/ranges"
)

// plan returns the command that changes the ranges of one service, or false if
// nothing changes.
func (l *Leader) plan(now clock.Reading, st *State, service string) (Command, bool) {
	keyspace := st.Keyspace(service)
	s := l.service(now, service)
	l.clearAppliedLosses(st)
	keyRanges, reclaimed := ranges.ReclaimLost(keyspace.Ranges, func(h ranges.Holder) bool { return l.lost(now, h) })
	for _, r := range keyspace.Ranges {
		if !r.Holder.IsZero() && l.lost(now, r.Holder) {
			l.lossProposed[r.Holder] = true
		}
	}
	drained := st.Drained()
	candidates := l.candidates(service, drained)
	keyRanges, released := l.applyReleases(keyRanges)
	keyRanges, requested := ranges.RequestRelease(keyRanges, func(h ranges.Holder) bool {
		return l.isDrained(h, drained) || len(candidates) > 0 && l.isNotReady(h)
	})
	load := s.load()
	assigned := false
	if keyspace.Revision != 0 || now.MonoSince(s.firstSeen) >= l.cfg.MemberGracePeriod {
		keyRanges, assigned = ranges.Assign(keyRanges, candidates, load, l.cfg.Ranges)
	}
	rebalanced := false
	if l.membersComplete(now) && now.MonoSince(s.lastRebalance) >= l.cfg.BalanceInterval {
		s.lastRebalance = now
		keyRanges, rebalanced = ranges.Rebalance(keyRanges, candidates, load, l.cfg.Ranges)
	}
	if !reclaimed && !released && !requested && !assigned && !rebalanced {
		return Command{}, false
	}
	return Command{ReplaceRanges: &ReplaceRanges{Service: service, BaseRevision: keyspace.Revision, Ranges: keyRanges}}, true
}

// lost reports whether a holder certainly serves no range any more: its process
// reported it as ended or has a target with a later incarnation, its lease and the
// margin have expired, or this term has already proposed to take its ranges.
func (l *Leader) lost(now clock.Reading, h ranges.Holder) bool {
	if l.ended[h] || l.lossProposed[h] || l.hasSuccessor(h) {
		return true
	}
	last, ok := l.lastGrant[h]
	if !ok || last.Mono < l.observedSince.Mono {
		last = l.observedSince
	}
	return now.MonoSince(last) > l.cfg.Lease+l.cfg.LeaseMargin
}

// hasSuccessor reports whether the holder's process now has a target with a
// later incarnation. A process has one target at a time, so the holder has
// ended. This avoids waiting for the lease when the process was restarted as
// well and can't report the earlier target as ended.
func (l *Leader) hasSuccessor(h ranges.Holder) bool {
	m := l.members[h.Process]
	return m != nil && m.Target != "" && m.Incarnation > h.Incarnation
}

// clearAppliedLosses allows leases again for lost holders to which the applied
// state assigns no range any more.
func (l *Leader) clearAppliedLosses(st *State) {
	if len(l.lossProposed) == 0 {
		return
	}
	holding := map[ranges.Holder]bool{}
	for _, keyspace := range st.stored.Keyspaces {
		for _, r := range keyspace.Ranges {
			holding[r.Holder] = true
		}
	}
	for h := range l.lossProposed {
		if !holding[h] {
			delete(l.lossProposed, h)
			delete(l.lastGrant, h)
		}
	}
}

// applyReleases releases the ranges that targets have reported as released, and
// requests the release of those that they refuse.
func (l *Leader) applyReleases(keyRanges []ranges.Range) ([]ranges.Range, bool) {
	changed := false
	for h, list := range l.released {
		for _, r := range list {
			r.Range.Holder = h
			apply := ranges.Release
			if r.Refused {
				apply = ranges.Refuse
			}
			next, ok := apply(keyRanges, r.Range, r.HandoverToken)
			keyRanges, changed = next, changed || ok
		}
	}
	return keyRanges, changed
}

// isNotReady reports whether a holder's target is draining or gone, so that its
// ranges should move to other holders.
func (l *Leader) isNotReady(h ranges.Holder) bool {
	m := l.members[h.Process]
	return m != nil && m.Holder() == h && m.Condition != Ready
}

// isDrained reports whether a holder is in a drained data centre. It must
// release its ranges even if no other holder can take them.
func (l *Leader) isDrained(h ranges.Holder, drained []string) bool {
	m := l.members[h.Process]
	return m != nil && m.Holder() == h && slices.Contains(drained, m.DataCentre)
}

// candidates returns the holders that ranges of a service may be assigned to.
func (l *Leader) candidates(service string, drained []string) []ranges.Candidate {
	var out []ranges.Candidate
	for _, m := range l.memberList {
		h := m.Holder()
		if h.IsZero() || m.Service != service || m.Condition != Ready || m.Leaving ||
			slices.Contains(drained, m.DataCentre) || l.lossProposed[h] || l.ended[h] {
			continue
		}
		c := ranges.Candidate{Holder: h, Slots: m.Slots, Weight: m.Weight}
		if r := l.members[m.Process]; r != nil {
			c.Capacity, c.Utilization = r.capacity, r.utilization
		}
		out = append(out, c)
	}
	return out
}

// load returns the sum of the last rates that each process reported in this term,
// in requests per second.
func (s *serviceState) load() *ranges.Load {
	var load ranges.Load
	for _, list := range s.rates {
		for _, b := range list {
			if b.Bucket >= 0 && b.Bucket < ranges.NumBuckets && b.Rate > 0 {
				load[b.Bucket] += b.Rate
			}
		}
	}
	return &load
}
