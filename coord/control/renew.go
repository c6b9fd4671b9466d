package control

import (
	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/table"
)

// Renew answers a renewal. The commands are to be proposed in order. The reply
// carries the state as it is now, so that the lease which it grants rests on
// the newest table and document.
func (c *Controller) Renew(now clock.Reading, s *State, r Renewal) (RenewalReply, []Command) {
	c.out = nil
	reply := RenewalReply{Status: RenewalPending, Seq: r.Seq, Incarnation: r.Incarnation}
	c.attach(s, r, &reply)
	if !c.leading || r.ID == "" || r.Incarnation == 0 {
		return reply, nil
	}
	if c.first {
		c.observe(now, s)
	}
	m, known := s.Member(r.ID)
	switch {
	case s.Retired(MemberIncarnation{r.ID, r.Incarnation}):
		reply.Status = RenewalFenced
	case !known:
		c.register(now, r)
	case m.Incarnation != r.Incarnation:
		c.replace(now, s, m, r)
	case m.State == MemberLost:
		reply.Status = RenewalFenced
	case c.mayGrant(s, r):
		c.grant(now, s, m, r, &reply)
	}
	return reply, c.out
}

// attach adds everything that the member lacks.
func (c *Controller) attach(s *State, r Renewal, reply *RenewalReply) {
	reply.TableRevision = s.tbl.Revision()
	reply.Table = s.TableDelta(r.TableRevision)
	if last := s.documents.last(); r.ConfigRevision < last.Revision {
		reply.Config = &ConfigUpdate{Revision: last.Revision, Document: last.Text}
	}
	reply.Directory = s.DirectorySince(r.DirectoryRevision)
}

// mayGrant reports whether a registered incarnation may hold a lease now. A
// member whose table is ahead of State has seen changes that this leader has
// not applied, so this leader is not up to date.
func (c *Controller) mayGrant(s *State, r Renewal) bool {
	_, losing := c.losing[r.ID]
	return !losing && r.TableRevision <= s.tbl.Revision() && r.ConfigRevision <= s.documents.last().Revision
}

func (c *Controller) grant(now clock.Reading, s *State, m Member, r Renewal, reply *RenewalReply) {
	c.tracker.RecordRenewal(r.ID, now)
	reply.Status = RenewalGranted
	reply.Draining = m.State == MemberDraining
	reply.MayStop = m.Leaving && s.idle(m.ID)
	if v := c.seen[r.ID]; v != nil {
		v.load = r.Load
		v.table, v.config = r.settled()
	}
	c.takeReports(now, s, m, r)
	if r.Leaving && !m.Leaving {
		c.propose(now, Command{SetMemberState: &SetMemberState{ID: m.ID, Incarnation: m.Incarnation, State: MemberDraining, Leaving: true}})
	}
	if m.DataCentre == r.DataCentre && (m.PeerAddr != r.PeerAddr || !sameTarget(m.Target, r.Target)) {
		c.register(now, r)
	}
}

// takeReports handles what a member says about its units.
func (c *Controller) takeReports(now clock.Reading, s *State, m Member, r Renewal) {
	for _, u := range r.Released {
		if e := s.tbl.Entry(u.Unit); e != nil && e.Phase == table.Moving && e.Owner == m.ID && e.Epoch == u.Epoch {
			c.released[u.Unit] = u.Epoch
			c.propose(now, Command{FinishMove: &FinishMove{Unit: u.Unit, Epoch: u.Epoch}})
		}
	}
	for _, y := range r.Synced {
		e := s.tbl.Entry(y.Unit)
		if e != nil && e.Phase == table.Serving && e.Owner == m.ID && e.Epoch == y.Epoch && e.AwaitsSync(y.Copy) {
			c.propose(now, Command{CopySynced: &y})
		}
	}
	for _, l := range r.UnitLoads {
		if e := s.tbl.Entry(l.Unit); e != nil && e.Owner == m.ID {
			c.loads.report(now, l.Unit, l.Rate)
		}
	}
	if c.cfg.HotKeys != nil && len(r.HotKeys) > 0 {
		c.cfg.HotKeys.Observe(now, m.ID, r.HotKeys)
	}
}

// register proposes the member as its renewal describes it.
func (c *Controller) register(now clock.Reading, r Renewal) {
	c.propose(now, Command{RegisterMember: &RegisterMember{Member: Member{
		ID: r.ID, Incarnation: r.Incarnation, DataCentre: r.DataCentre, PeerAddr: r.PeerAddr, State: MemberActive, Target: r.Target,
	}}})
}

// replace handles a new incarnation. It waits until the lease of the old one
// has ended, unless that one left or is lost already.
func (c *Controller) replace(now clock.Reading, s *State, old Member, r Renewal) {
	if old.State == MemberLost || (old.Leaving && s.idle(old.ID)) {
		c.register(now, r)
		return
	}
	if _, losing := c.losing[old.ID]; losing || !c.expired(now, &old) {
		return
	}
	c.lose(now, s, []Member{old})
	c.register(now, r)
}
