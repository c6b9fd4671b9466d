package fleet

import (
	"slices"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/ranges"
)

// plan decides about the rows of one service.
func (l *Leader) plan(now clock.Reading, st *State, service string) (Command, bool) {
	space := st.Keyspace(service)
	v := l.service(now, service)
	l.tidy(st)
	rows, freed := ranges.ReclaimLost(space.Ranges, func(h ranges.Holder) bool { return l.lost(now, h) })
	for _, r := range space.Ranges {
		if !r.Holder.IsZero() && l.lost(now, r.Holder) {
			l.losing[r.Holder] = true
		}
	}
	drained := st.Drained()
	candidates := l.candidates(service, drained)
	rows, returned := l.takeReleased(rows)
	rows, vacated := ranges.RequestRelease(rows, func(h ranges.Holder) bool {
		return l.isDrained(h, drained) || len(candidates) > 0 && l.leaves(h)
	})
	load := v.load()
	assigned := false
	if space.Revision != 0 || now.MonoSince(v.first) >= l.cfg.MemberGracePeriod {
		rows, assigned = ranges.Assign(rows, candidates, load, l.cfg.Ranges)
	}
	balanced := false
	if l.settled(now) && now.MonoSince(v.balanced) >= l.cfg.BalanceInterval {
		v.balanced = now
		rows, balanced = ranges.Rebalance(rows, candidates, load, l.cfg.Ranges)
	}
	if !freed && !returned && !vacated && !assigned && !balanced {
		return Command{}, false
	}
	return Command{ReplaceRanges: &ReplaceRanges{Service: service, BaseRevision: space.Revision, Ranges: rows}}, true
}

// lost reports whether a holder certainly holds nothing: it has ended, or its
// lease has run out.
func (l *Leader) lost(now clock.Reading, h ranges.Holder) bool {
	if l.ended[h] || l.losing[h] || l.succeeded(h) {
		return true
	}
	last, ok := l.granted[h]
	if !ok || last.Mono < l.since.Mono {
		last = l.since
	}
	return now.MonoSince(last) > l.cfg.Lease+l.cfg.LeaseMargin
}

// succeeded reports whether a later start of a target stands in the place of a
// holder: one target runs beside each process. It spares the wait for a lease
// where the process itself was restarted and does not know the earlier one.
func (l *Leader) succeeded(h ranges.Holder) bool {
	m := l.members[h.Process]
	return m != nil && m.Target != "" && m.Incarnation > h.Incarnation
}

// tidy allows leases again to holders whose rows the table shows free.
func (l *Leader) tidy(st *State) {
	if len(l.losing) == 0 {
		return
	}
	holding := map[ranges.Holder]bool{}
	for _, space := range st.s.Spaces {
		for _, r := range space.Ranges {
			holding[r.Holder] = true
		}
	}
	for h := range l.losing {
		if !holding[h] {
			delete(l.losing, h)
			delete(l.granted, h)
		}
	}
}

func (l *Leader) takeReleased(rows []ranges.Range) ([]ranges.Range, bool) {
	changed := false
	for h, list := range l.released {
		for _, rel := range list {
			rel.Row.Holder = h
			next, ok := ranges.Release(rows, rel.Row, rel.HandoverToken)
			rows, changed = next, changed || ok
		}
	}
	return rows, changed
}

// leaves reports whether a holder should give its rows to others.
func (l *Leader) leaves(h ranges.Holder) bool {
	m := l.members[h.Process]
	return m != nil && m.Holder() == h && m.Condition != Ready
}

// isDrained reports whether a holder must give its rows back, even if nobody
// can take them.
func (l *Leader) isDrained(h ranges.Holder, drained []string) bool {
	m := l.members[h.Process]
	return m != nil && m.Holder() == h && slices.Contains(drained, m.DataCentre)
}

// candidates returns the holders that may take rows of a service.
func (l *Leader) candidates(service string, drained []string) []ranges.Candidate {
	var out []ranges.Candidate
	for _, m := range l.listed {
		h := m.Holder()
		if h.IsZero() || m.Service != service || m.Condition != Ready || m.Leaving ||
			slices.Contains(drained, m.DataCentre) || l.losing[h] || l.ended[h] {
			continue
		}
		c := ranges.Candidate{Holder: h, Slots: m.Slots}
		if r := l.members[m.Process]; r != nil {
			c.Capacity, c.Utilization = r.capacity, r.busy
		}
		out = append(out, c)
	}
	return out
}

// load adds up the reports of all processes.
func (v *serviceView) load() *ranges.Load {
	var load ranges.Load
	for _, list := range v.rates {
		for _, b := range list {
			if b.Bucket >= 0 && b.Bucket < ranges.NumBuckets && b.Rate > 0 {
				load[b.Bucket] += b.Rate
			}
		}
	}
	return &load
}
