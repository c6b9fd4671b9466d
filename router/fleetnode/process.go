package fleetnode

import (
	"bramleyquay.example/coord/fleet"
	"bramleyquay.example/coord/raft"
	"bramleyquay.example/coord/ranges"
	"bramleyquay.example/router/raftdriver"
	"bramleyquay.example/router/timesource"
)

// process stores, sends and applies everything that the replicated log has
// ready, then runs the leader's tasks. An error means that the replica must
// stop.
func (r *Replica) process() error {
	machine := raftdriver.StateMachine{Restore: r.restoreSnapshot, Apply: r.applyEntry, OnAdvance: r.updateLeadership}
	if err := r.readyProcessor.Process(r.raft, machine); err != nil {
		return err
	}
	r.received = receivedState{} // of a snapshot that the log did not take
	r.runLeaderTasks()
	r.notifyMembers()
	return r.readyProcessor.Compact(r.raft, r.state.Snapshot)
}

// restoreSnapshot replaces the state by a snapshot from the leader.
func (r *Replica) restoreSnapshot(snapshot *raft.Snapshot) error {
	state := r.received.state
	if r.received.index != snapshot.Index || r.received.term != snapshot.Term {
		var err error
		if state, err = fleet.Restore(snapshot.Data); err != nil {
			return Error.Wrap(err)
		}
	}
	r.state = state
	r.log.Info().Uint64("index", snapshot.Index).Uint64("version", r.state.Version()).Msg("state replaced by a snapshot from the leader")
	return nil
}

// applyEntry applies one committed entry and completes its proposal if a
// caller waits for it.
func (r *Replica) applyEntry(entry raft.Entry) {
	var result raftdriver.ProposalResult[fleet.Result]
	if entry.Kind == raft.EntryCommand {
		before := r.state.Revisions()
		result.Result, result.Err = r.state.Apply(entry.Index, entry.Data)
		if result.Err != nil {
			// Every replica skips this entry, so that the states stay equal.
			r.log.Error().Uint64("index", entry.Index).Err(result.Err).Msg("committed entry cannot be applied and is skipped")
		}
		r.logApplied(entry, before)
	}
	r.proposals.Complete(entry, result)
}

// logApplied logs a change of the document or of the drained data centres.
func (r *Replica) logApplied(entry raft.Entry, before fleet.Revisions) {
	after := r.state.Revisions()
	if after.Document != before.Document {
		r.log.Info().Uint64("index", entry.Index).Uint64("term", entry.Term).Uint64("version", r.state.Version()).Msg("new document is in effect")
	}
	if after.Drain != before.Drain {
		r.log.Info().Uint64("index", entry.Index).Strs("drained", r.state.Drained()).Msg("drained data centres changed")
	}
}

// updateLeadership reacts to the start and the end of this replica's
// leadership and logs changes of the leader.
func (r *Replica) updateLeadership() {
	st := r.raft.Status()
	leads := st.Role == raft.Leader && st.TermApplied
	now := timesource.BootTime()
	switch {
	case leads && !r.leader.IsLeader():
		r.leader.BecomeLeader(now, st.Term)
		r.membership, r.pendingRanges = fleet.NewMembershipManager(r.cfg.Group), map[string]pendingProposal{}
		r.log.Info().Uint64("term", st.Term).Msg("became leader; no member is declared lost before one lease has passed")
	case !leads && r.leader.IsLeader():
		r.leader.BecomeFollower()
		r.subscribers.Clear()
		r.log.Info().Uint64("term", st.Term).Msg("no longer leader")
	}
	if st.Leader != r.lastLeader {
		r.log.Info().Str("leader", string(st.Leader)).Str("before", string(r.lastLeader)).Uint64("term", st.Term).Msg("leader changed")
		r.lastLeader = st.Leader
		leader := ""
		if st.Leader != "" {
			leader = fleet.ReplicaAddress(st.Leader)
		}
		r.peers.SetLeader(leader)
	}
}

// runLeaderTasks checks the members' leases and the membership of the control
// group at their intervals, on the leader only.
func (r *Replica) runLeaderTasks() {
	now := timesource.BootTime()
	if !r.isActiveLeader() {
		return
	}
	if now.MonoSince(r.lastLeaseCheck) >= leaseInterval {
		r.lastLeaseCheck = now
		for _, c := range r.leader.Tick(now, r.state) {
			switch {
			case c.RegisterQuota != nil:
				r.proposeQuota(c)
			case c.ForgetDepartures != nil:
				r.proposeForgetDepartures(c)
			default:
				r.proposeRanges(c)
			}
		}
	}
	if now.MonoSince(r.lastMembershipCheck) >= membershipInterval {
		r.lastMembershipCheck = now
		r.probeSilentReplicas(now)
		r.proposeMembershipChange()
	}
}

// proposeRanges proposes a change of a key space's ranges, unless a change
// from the same base revision was proposed less than proposalTimeout ago.
func (r *Replica) proposeRanges(command fleet.Command) {
	now := timesource.BootTime()
	change := command.ReplaceRanges
	if pending, ok := r.pendingRanges[change.Service]; ok && pending.baseRevision == change.BaseRevision && now.MonoSince(pending.proposedAt) < proposalTimeout {
		return
	}
	data, err := fleet.EncodeCommand(command)
	if err == nil {
		_, err = r.raft.Propose(data)
	}
	if err != nil {
		r.log.Warn().Str("service", change.Service).Err(err).Msg("change of key ranges could not be proposed")
		return
	}
	r.pendingRanges[change.Service] = pendingProposal{baseRevision: change.BaseRevision, proposedAt: now}
	r.logRanges(change)
}

// logRanges logs the ranges whose holder or release state changes. Consecutive
// changes with the same old and new target are logged once.
func (r *Replica) logRanges(change *fleet.ReplaceRanges) {
	changed := 0
	lastTransition := ""
	before := r.state.Keyspace(change.Service).Ranges
	for _, next := range change.Ranges {
		previous, _ := ranges.Find(before, next.From)
		if previous.Holder == next.Holder && previous.Releasing == next.Releasing {
			continue
		}
		changed++
		if transition := previous.Holder.Target + " to " + next.Holder.Target; transition != lastTransition && changed <= maxLoggedRanges {
			lastTransition = transition
			r.log.Info().Str("service", change.Service).Uint64("base", change.BaseRevision).Uint16("from", next.From).Uint16("to", next.To).
				Str("holder", next.Holder.Target).Str("before", previous.Holder.Target).Bool("releasing", next.Releasing).
				Bool("handover", next.HandoverToken != "").Msg("key range changes")
		}
	}
	r.log.Info().Str("service", change.Service).Uint64("base", change.BaseRevision).Int("rows", changed).Msg("change of key ranges proposed")
}

// maxLoggedRanges is the number of changed ranges of one proposal, from the
// lowest key on, whose changes are logged. Further ones are only counted.
const maxLoggedRanges = 16

// proposeMembershipChange proposes the next membership change of the control
// group, if one is needed. Changes are made one at a time.
func (r *Replica) proposeMembershipChange() {
	c, ok := r.membership.NextChange(timesource.BootTime(), r.raft.Status())
	if !ok {
		return
	}
	if _, err := r.raft.ProposeMembership(c); err != nil {
		r.log.Debug().Stringer("kind", c.Kind).Str("replica", string(c.ID)).Err(err).Msg("membership change of the control group rejected")
		return
	}
	r.log.Info().Stringer("kind", c.Kind).Str("replica", string(c.ID)).Msg("membership change of the control group proposed")
}
