package fleetnode

import (
	"bramleyquay.example/coord/fleet"
	"bramleyquay.example/coord/raft"
	"bramleyquay.example/coord/ranges"
	"bramleyquay.example/router/raftdriver"
	"bramleyquay.example/router/timesource"
)

// process carries out the log's work until there is none left.
func (n *Replica) process() error {
	machine := raftdriver.StateMachine{Restore: n.install, Apply: n.applyEntry, OnAdvance: n.follow}
	if err := n.work.Process(n.raft, machine); err != nil {
		return err
	}
	n.review()
	n.wake()
	return n.work.Compact(n.raft, n.state.Snapshot)
}

// install replaces the state by a snapshot from the leader.
func (n *Replica) install(s *raft.Snapshot) error {
	state, err := fleet.Restore(s.Data)
	if err != nil {
		return Error.Wrap(err)
	}
	n.state = state
	n.log.Info().Uint64("index", s.Index).Uint64("version", state.Version()).Msg("caught up by a snapshot")
	return nil
}

// applyEntry applies one committed entry and answers who waits for it.
func (n *Replica) applyEntry(e raft.Entry) {
	var p raftdriver.ProposalResult[fleet.Result]
	if e.Kind == raft.EntryCommand {
		before := n.state.Revisions()
		p.Result, p.Err = n.state.Apply(e.Index, e.Data)
		if p.Err != nil {
			// Every replica skips the entry in the same way.
			n.log.Error().Uint64("index", e.Index).Err(p.Err).Msg("entry has no effect")
		}
		n.logApplied(e, before)
	}
	n.proposals.Complete(e, p)
}

func (n *Replica) logApplied(e raft.Entry, before fleet.Revisions) {
	after := n.state.Revisions()
	if after.Document != before.Document {
		n.log.Info().Uint64("index", e.Index).Uint64("term", e.Term).Uint64("version", n.state.Version()).Msg("document in force")
	}
	if after.Drain != before.Drain {
		n.log.Info().Uint64("index", e.Index).Strs("drained", n.state.Drained()).Msg("drained data centres changed")
	}
}

// follow notes the begin and end of leadership.
func (n *Replica) follow() {
	st := n.raft.Status()
	leads := st.Role == raft.Leader && st.TermApplied
	now := timesource.BootTime()
	switch {
	case leads && !n.leader.IsLeader():
		n.leader.BecomeLeader(now, st.Term)
		n.membership, n.planned = fleet.NewMembershipManager(n.cfg.Group), map[string]flight{}
		n.log.Info().Uint64("term", st.Term).Msg("leads; no loss is declared before one lease has passed")
	case !leads && n.leader.IsLeader():
		n.leader.BecomeFollower()
		n.wakers.Clear()
		n.log.Info().Uint64("term", st.Term).Msg("no longer leads")
	}
	if st.Leader != n.lastLeader {
		n.log.Info().Str("leader", string(st.Leader)).Str("before", string(n.lastLeader)).Uint64("term", st.Term).Msg("leader changed")
		n.lastLeader = st.Leader
	}
}

// review lets the leader look at leases and the group.
func (n *Replica) review() {
	now := timesource.BootTime()
	if !n.serves() {
		return
	}
	if now.MonoSince(n.lastReview) >= reviewInterval {
		n.lastReview = now
		for _, c := range n.leader.Tick(now, n.state) {
			n.proposeRows(c)
		}
	}
	if now.MonoSince(n.lastUpkeep) >= upkeepInterval {
		n.lastUpkeep = now
		n.upkeep()
	}
}

// proposeRows proposes a change of a key space unless one is in flight.
func (n *Replica) proposeRows(c fleet.Command) {
	now := timesource.BootTime()
	r := c.ReplaceRanges
	if f, ok := n.planned[r.Service]; ok && f.base == r.BaseRevision && now.MonoSince(f.at) < flightTimeout {
		return
	}
	data, err := fleet.EncodeCommand(c)
	if err == nil {
		_, err = n.raft.Propose(data)
	}
	if err != nil {
		n.log.Warn().Str("service", r.Service).Err(err).Msg("change of key rows was not proposed")
		return
	}
	n.planned[r.Service] = flight{base: r.BaseRevision, at: now}
	n.logRows(r)
}

// logRows writes a line for each row that changes.
func (n *Replica) logRows(r *fleet.ReplaceRanges) {
	changed := 0
	last := ""
	old := n.state.Keyspace(r.Service).Ranges
	for _, row := range r.Ranges {
		was, _ := ranges.Find(old, row.From)
		if was.Holder == row.Holder && was.Releasing == row.Releasing {
			continue
		}
		changed++
		if s := was.Holder.Target + " to " + row.Holder.Target; s != last && changed <= maxLoggedRows {
			last = s
			n.log.Info().Str("service", r.Service).Uint64("base", r.BaseRevision).Uint16("from", row.From).Uint16("to", row.To).
				Str("holder", row.Holder.Target).Str("before", was.Holder.Target).Bool("releasing", row.Releasing).
				Bool("handover", row.HandoverToken != "").Msg("key rows change")
		}
	}
	n.log.Info().Str("service", r.Service).Uint64("base", r.BaseRevision).Int("rows", changed).Msg("change of key rows proposed")
}

// maxLoggedRows bounds the lines about one change of a key space.
const maxLoggedRows = 16

// upkeep repairs the group by one change at a time.
func (n *Replica) upkeep() {
	c, ok := n.membership.NextChange(timesource.BootTime(), n.raft.Status())
	if !ok {
		return
	}
	if _, err := n.raft.ProposeMembership(c); err != nil {
		n.log.Debug().Stringer("kind", c.Kind).Str("replica", string(c.ID)).Err(err).Msg("change of the group refused")
		return
	}
	n.log.Info().Stringer("kind", c.Kind).Str("replica", string(c.ID)).Msg("change of the group proposed")
}
