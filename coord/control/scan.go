package control

import (
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/config"
	"bramleyquay.example/coord/placement"
	"bramleyquay.example/coord/table"
)

// maxScanAge is the time after which the table is scanned even if no revision
// changed, because leases and ramps change without a new revision.
const maxScanAge = 5 * time.Second

// scan checks all served units and proposes moves for those that must leave their
// owners, and changes of record copies.
func (c *Controller) scan(now clock.Reading, s *State) {
	current := revisions{s.tbl.Revision(), s.directory.revision, s.documents.last().Revision}
	waited := now.MonoSince(c.lastScan)
	due := c.scanIncomplete || current != c.scannedRevisions
	if waited < c.cfg.ScanInterval || (!due && waited < maxScanAge) {
		return
	}
	c.lastScan, c.scannedRevisions, c.scanIncomplete = now, current, false
	c.updateLimiter(s)
	var misplaced []*table.Entry
	var copies []copyPlan
	s.tbl.Each(func(e *table.Entry) bool {
		if e.Phase != table.Serving || c.hasProposal(e.Unit) {
			return true
		}
		k := s.keyspaces[e.Unit.Keyspace]
		if c.misplaced(now, s, e, &k) {
			misplaced = append(misplaced, e)
		} else if k.copies > 0 || len(e.Copies)+len(e.SyncingCopies) > 0 {
			if p, needed := c.planCopies(now, s, e, k.copies); needed {
				copies = append(copies, p)
			}
		}
		return true
	})
	c.moveAway(now, s, misplaced)
	if len(copies) > 0 {
		c.proposeCopyChanges(now, s, copies)
	}
}

// misplaced reports whether a unit has to leave its owner, whose lease is still
// valid: the owner is draining or may no longer own the unit.
func (c *Controller) misplaced(now clock.Reading, s *State, e *table.Entry, k *keyspace) bool {
	r := s.members[e.Owner]
	if r == nil || r.Member.State == MemberLost || c.expired(now, &r.Member) {
		return false
	}
	if r.Member.Target == nil && !s.doc.Automation.Allowed(config.ActionFailover) {
		return false // the target may come back, and moving its units would be a failover
	}
	return r.Member.State == MemberDraining || !k.serves(&r.Member)
}

// moveAway proposes moves for units that have to leave their owners, as fast as the
// limiter allows. Drains are not automatic actions, so no switch disables them.
func (c *Controller) moveAway(now clock.Reading, s *State, entries []*table.Entry) {
	groups := map[string][]placement.UnitInfo{}
	for _, e := range entries {
		k := s.keyspaces[e.Unit.Keyspace]
		groups[k.Service] = append(groups[k.Service], placement.UnitInfo{
			ID: e.Unit, Prefer: e.Copies, Avoid: []table.MemberID{e.Owner}, DataCentres: k.DataCentres,
		})
	}
	for _, service := range sortedKeys(groups) {
		members := c.candidates(now, s, service)
		for _, a := range c.planner(service).Assign(groups[service], members, unitCounts(s, members)) {
			move := BeginMove{Unit: a.Unit, Epoch: s.tbl.Entry(a.Unit).Epoch, To: a.To}
			if c.tryStartMove(now, s, move) {
				c.propose(now, Command{BeginMove: &move})
			}
		}
		c.scanIncomplete = true
	}
}

// tryStartMove reports whether the limiter allows a move to start now, and counts
// it if so.
func (c *Controller) tryStartMove(now clock.Reading, s *State, move BeginMove) bool {
	to := s.members[move.To]
	if to == nil || c.hasProposal(move.Unit) {
		return false
	}
	return c.limiter.TryStart(now, move.Unit, move.To, c.ramp(now, s, &to.Member))
}

// clearReachedBarriers proposes to clear the barriers whose revisions every member
// with a lease has reported.
func (c *Controller) clearReachedBarriers(now clock.Reading, s *State) {
	for _, b := range s.Barriers() {
		reached := true
		for id, r := range s.members {
			v := c.views[id]
			mayServe := r.Member.State != MemberLost && !c.expired(now, &r.Member)
			if mayServe && (v == nil || v.table < b.TableRevision || v.config < b.ConfigRevision) {
				reached = false
				break
			}
		}
		if reached {
			c.propose(now, Command{ClearBarrier: &ClearBarrier{Name: b.Keyspace, Revision: b.TableRevision}})
		}
	}
}

// expireRecordsLosses proposes ClearRecordsLost once the lifetime of the lost
// idempotency records has passed. Until then payments of the unit are answered
// with outcome unknown. The time counts from when this leader first saw the loss.
func (c *Controller) expireRecordsLosses(now clock.Reading, s *State) {
	for u := range c.recordsLosses {
		if _, still := s.recordsLost[u]; !still {
			delete(c.recordsLosses, u)
		}
	}
	for _, u := range sortedUnits(s.recordsLost) {
		revision := s.recordsLost[u]
		r, known := c.recordsLosses[u]
		if !known || r.revision != revision {
			c.recordsLosses[u] = recordsLoss{revision: revision, since: now}
			continue
		}
		lifetime := time.Duration(s.keyspaces[u.Keyspace].lifetimeMs) * time.Millisecond
		if now.MonoSince(r.since) >= lifetime {
			c.propose(now, Command{ClearRecordsLost: &ClearRecordsLost{Unit: u, Since: revision}})
		}
	}
}
