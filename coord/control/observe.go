package control

import (
	"cmp"
	"slices"
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/config"
	"bramleyquay.example/coord/placement"
	"bramleyquay.example/coord/table"
)

// seenMember is what the leader knows of a member in this term.
type seenMember struct {
	incarnation uint64
	target      uint64
	state       MemberState
	ramping     bool
	rampFrom    clock.Reading
	lostSince   clock.Reading
	load        Load
	// The revisions that the member reported; it acts on nothing older.
	table, config uint64
}

// observe follows the members of State: new ones, new incarnations, returns.
// Everything that it looks at raises the directory's revision, so that it needs
// no pass over the members after other commands.
func (c *Controller) observe(now clock.Reading, s *State) {
	if !c.first && c.observed == s.directory.revision {
		return
	}
	c.observed = s.directory.revision
	for id, r := range s.members {
		c.observeMember(now, id, &r.Member)
	}
	if len(c.seen) != len(s.members) {
		for id := range c.seen {
			if s.members[id] == nil {
				delete(c.seen, id)
				delete(c.losing, id)
				c.tracker.Remove(id)
				c.limiter.Remove(id)
			}
		}
	}
	c.first = false
}

func (c *Controller) observeMember(now clock.Reading, id table.MemberID, m *Member) {
	target := uint64(0)
	if m.Target != nil {
		target = m.Target.Incarnation
	}
	v := c.seen[id]
	if v == nil || v.incarnation != m.Incarnation {
		// A registration counts as heard, so that the member has a whole lease
		// to send its next renewal. At the start of a term members are taken
		// as warm: their age is not known.
		v = &seenMember{incarnation: m.Incarnation, target: target, state: m.State, ramping: !c.first, rampFrom: now, lostSince: now}
		c.seen[id] = v
		delete(c.losing, id)
		c.tracker.RecordRenewal(id, now)
	}
	if m.State == MemberLost && v.state != MemberLost {
		v.lostSince = now
		delete(c.losing, id)
	}
	if target != v.target || (m.State == MemberActive && v.state != MemberActive) {
		v.ramping, v.rampFrom = true, now
	}
	v.target, v.state = target, m.State
}

// ramp returns the share of its capacity that a member should carry now.
func (c *Controller) ramp(now clock.Reading, s *State, m *Member) float64 {
	v := c.seen[m.ID]
	if v == nil || !v.ramping || m.Target == nil {
		return 1
	}
	start, length := rampOf(s.doc, m.Target)
	share := start + (1-start)*float64(now.MonoSince(v.rampFrom))/float64(length)
	if share >= 1 {
		v.ramping = false
		return 1
	}
	return share
}

// rampOf returns the share of capacity at the start of a target's ramp and the
// ramp's length.
func rampOf(doc *config.Document, t *Target) (float64, time.Duration) {
	service := config.Service{}
	if found := doc.Service(t.Service); found != nil {
		service = *found
	}
	service = service.WithDefaults()
	start := float64(service.Ramp.StartSlots) / float64(max(t.Slots, 1))
	return min(start, 1), time.Duration(max(service.Ramp.DurationMs, 1)) * time.Millisecond
}

// available reports whether a member may receive work as far as the leader
// knows: active, and neither lost nor silent for a whole lease.
func (c *Controller) available(now clock.Reading, m *Member) bool {
	if m.State != MemberActive {
		return false
	}
	if _, losing := c.losing[m.ID]; losing {
		return false
	}
	return !c.expired(now, m)
}

func (c *Controller) expired(now clock.Reading, m *Member) bool {
	return c.tracker.Expired(m.ID, m.Target != nil && m.Target.ChecksFences, now)
}

// candidates returns the members that may receive units of a service, by id,
// weighted by their ramps.
func (c *Controller) candidates(now clock.Reading, s *State, service string) []placement.Member {
	var out []placement.Member
	for _, r := range s.members {
		m := &r.Member
		if m.Target != nil && m.Target.Service == service && c.available(now, m) {
			out = append(out, placement.Member{ID: m.ID, DataCentre: m.DataCentre, Weight: c.ramp(now, s, m)})
		}
	}
	sortCandidates(out)
	return out
}

func sortCandidates(list []placement.Member) {
	slices.SortFunc(list, func(a, b placement.Member) int { return cmp.Compare(a.ID, b.ID) })
}

// owned returns the units that each candidate owns or will receive.
func owned(s *State, members []placement.Member) map[table.MemberID]float64 {
	out := make(map[table.MemberID]float64, len(members))
	for _, m := range members {
		h := s.held(m.ID)
		out[m.ID] = float64(len(h.owned) + len(h.next))
	}
	return out
}
