package control

import (
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/config"
	"bramleyquay.example/coord/placement"
	"bramleyquay.example/coord/table"
)

// rescan is the time after which the table is scanned even without a change,
// because leases and ramps change without one.
const rescan = 5 * time.Second

// scan looks for units whose owner or copies are in the wrong place.
func (c *Controller) scan(now clock.Reading, s *State) {
	current := revisions{s.tbl.Revision(), s.directory.revision, s.documents.last().Revision}
	waited := now.MonoSince(c.scanned)
	due := c.unfinished || current != c.scannedAt
	if waited < c.cfg.ScanInterval || (!due && waited < rescan) {
		return
	}
	c.scanned, c.scannedAt, c.unfinished = now, current, false
	c.observeMoves(s)
	var misplaced []*table.Entry
	var copies []copyPlan
	s.tbl.Each(func(e *table.Entry) bool {
		if e.Phase != table.Serving || c.busy(e.Unit) {
			return true
		}
		k := s.keyspaces[e.Unit.Keyspace]
		if c.misplaced(now, s, e, &k) {
			misplaced = append(misplaced, e)
		} else if k.copies > 0 || len(e.Copies)+len(e.SyncingCopies) > 0 {
			if p, work := c.planCopies(now, s, e, k.copies); work {
				copies = append(copies, p)
			}
		}
		return true
	})
	c.moveAway(now, s, misplaced)
	if len(copies) > 0 {
		c.tendCopies(now, s, copies)
	}
}

// misplaced reports whether a unit has to leave its owner, which is alive.
func (c *Controller) misplaced(now clock.Reading, s *State, e *table.Entry, k *keyspace) bool {
	r := s.members[e.Owner]
	if r == nil || r.Member.State == MemberLost || c.expired(now, &r.Member) {
		return false
	}
	if r.Member.Target == nil && !s.doc.Automation.Allowed(config.ActionFailover) {
		return false // the target may come back; moving is a failover
	}
	return r.Member.State == MemberDraining || !k.serves(&r.Member)
}

// moveAway proposes paced moves for units that have to leave their owners.
// Drains are not automatic actions, so no switch applies.
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
		for _, a := range c.planner(service).Assign(groups[service], members, owned(s, members)) {
			move := BeginMove{Unit: a.Unit, Epoch: s.tbl.Entry(a.Unit).Epoch, To: a.To}
			if c.pace(now, s, move) {
				c.propose(now, Command{BeginMove: &move})
			}
		}
		c.unfinished = true
	}
}

// pace reports whether a move may start now.
func (c *Controller) pace(now clock.Reading, s *State, move BeginMove) bool {
	to := s.members[move.To]
	if to == nil || c.busy(move.Unit) {
		return false
	}
	return c.limiter.TryStart(now, move.Unit, move.To, c.ramp(now, s, &to.Member))
}

// releaseBarriers ends the wait of key spaces once every member has reached
// the revision or has no lease.
func (c *Controller) releaseBarriers(now clock.Reading, s *State) {
	for _, b := range s.Barriers() {
		reached := true
		for id, r := range s.members {
			v := c.seen[id]
			acts := r.Member.State != MemberLost && !c.expired(now, &r.Member)
			if acts && (v == nil || v.table < b.TableRevision || v.config < b.ConfigRevision) {
				reached = false
				break
			}
		}
		if reached {
			c.propose(now, Command{ClearBarrier: &ClearBarrier{Name: b.Keyspace, Revision: b.TableRevision}})
		}
	}
}

// expireRecords ends the time in which units answer unknown because their
// records were lost. It counts from when this leader first saw the loss.
func (c *Controller) expireRecords(now clock.Reading, s *State) {
	for u := range c.records {
		if _, still := s.recordsLost[u]; !still {
			delete(c.records, u)
		}
	}
	for _, u := range sortedUnits(s.recordsLost) {
		revision := s.recordsLost[u]
		r, known := c.records[u]
		if !known || r.revision != revision {
			c.records[u] = recordsLoss{revision: revision, since: now}
			continue
		}
		lifetime := time.Duration(s.keyspaces[u.Keyspace].lifetimeMs) * time.Millisecond
		if now.MonoSince(r.since) >= lifetime {
			c.propose(now, Command{ClearRecordsLost: &ClearRecordsLost{Unit: u, Since: revision}})
		}
	}
}
