package control

import (
	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/table"
)

// Renew returns the reply to a renewal and commands that the caller proposes in
// order. The reply includes every change of s that the member lacks, so that a
// granted lease is based on the newest table and document.
func (c *Controller) Renew(now clock.Reading, s *State, r Renewal) (RenewalReply, []Command) {
	c.commands = nil
	reply := RenewalReply{Status: RenewalPending, Seq: r.Seq, Incarnation: r.Incarnation}
	c.attachUpdates(s, r, &reply)
	if !c.leading || r.ID == "" || r.Incarnation == 0 {
		return reply, nil
	}
	if c.newTerm {
		c.observeMembers(now, s)
	}
	m, known := s.Member(r.ID)
	switch {
	case s.Retired(MemberIncarnation{r.ID, r.Incarnation}):
		reply.Status = RenewalFenced
	case !known:
		c.proposeRegistration(now, r)
	case m.Incarnation != r.Incarnation:
		c.replaceIncarnation(now, s, m, r)
	case m.State == MemberLost:
		reply.Status = RenewalFenced
	case c.mayGrant(s, r):
		c.grant(now, s, m, r, &reply)
	}
	return reply, c.commands
}

// attachUpdates adds the table, document and directory changes that the member
// lacks to the reply.
func (c *Controller) attachUpdates(s *State, r Renewal, reply *RenewalReply) {
	reply.TableRevision = s.tbl.Revision()
	reply.Table = s.TableDelta(r.TableRevision)
	if last := s.documents.last(); r.ConfigRevision < last.Revision {
		reply.Config = &ConfigUpdate{Revision: last.Revision, Document: last.Text}
	}
	reply.Directory = s.DirectorySince(r.DirectoryRevision)
}

// mayGrant reports whether a lease may be granted to a registered incarnation. It
// may not if a loss is proposed, or if the member has a newer table or document
// than s, because then this leader is not up to date.
func (c *Controller) mayGrant(s *State, r Renewal) bool {
	_, proposed := c.lossProposals[r.ID]
	return !proposed && r.TableRevision <= s.tbl.Revision() && r.ConfigRevision <= s.documents.last().Revision
}

// grant renews the lease of a member and handles its reports.
func (c *Controller) grant(now clock.Reading, s *State, m Member, r Renewal, reply *RenewalReply) {
	c.tracker.RecordRenewal(r.ID, now)
	reply.Status = RenewalGranted
	reply.Draining = m.State == MemberDraining
	reply.MayStop = m.Leaving && s.idle(m.ID)
	if v := c.views[r.ID]; v != nil {
		v.load = r.Load
		v.table, v.config = r.oldestRevisions()
	}
	c.handleReports(now, s, m, r)
	if r.Leaving && !m.Leaving {
		c.propose(now, Command{SetMemberState: &SetMemberState{ID: m.ID, Incarnation: m.Incarnation, State: MemberDraining, Leaving: true}})
	}
	if m.DataCentre == r.DataCentre && (m.PeerAddr != r.PeerAddr || !sameTarget(m.Target, r.Target)) {
		c.proposeRegistration(now, r)
	}
}

// handleReports handles the member's reports about its units: releases, copies in
// sync, loads and hot keys.
func (c *Controller) handleReports(now clock.Reading, s *State, m Member, r Renewal) {
	for _, u := range r.Released {
		if e := s.tbl.Entry(u.Unit); e != nil && e.Phase == table.Moving && e.Owner == m.ID && e.Epoch == u.Epoch {
			c.releasedEpochs[u.Unit] = u.Epoch
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

// proposeRegistration proposes to register the member with the data of its renewal.
func (c *Controller) proposeRegistration(now clock.Reading, r Renewal) {
	c.propose(now, Command{RegisterMember: &RegisterMember{Member: Member{
		ID: r.ID, Incarnation: r.Incarnation, DataCentre: r.DataCentre, PeerAddr: r.PeerAddr, State: MemberActive, Target: r.Target,
	}}})
}

// replaceIncarnation handles the renewal of a new incarnation. It registers the
// incarnation once the lease of the old one has ended, or at once if the old one
// left or is already lost.
func (c *Controller) replaceIncarnation(now clock.Reading, s *State, old Member, r Renewal) {
	if old.State == MemberLost || (old.Leaving && s.idle(old.ID)) {
		c.proposeRegistration(now, r)
		return
	}
	if _, proposed := c.lossProposals[old.ID]; proposed || !c.expired(now, &old) {
		return
	}
	c.proposeLoss(now, s, []Member{old})
	c.proposeRegistration(now, r)
}
