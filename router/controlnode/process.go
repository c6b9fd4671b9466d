package controlnode

import (
	"bramleyquay.example/coord/control"
	"bramleyquay.example/coord/raft"
	"bramleyquay.example/router/raftdriver"
	"bramleyquay.example/router/timesource"
)

// process stores, sends and applies everything that the replicated log has
// ready, then runs the leader's tasks. An error means that the replica must
// stop.
func (r *Replica) process() error {
	if r.raft == nil {
		return nil
	}
	machine := raftdriver.StateMachine{Restore: r.restoreSnapshot, Apply: r.applyEntry, OnAdvance: r.updateLeadership}
	if err := r.readyProcessor.Process(r.raft, machine); err != nil {
		return err
	}
	if r.leading {
		r.unserved.update(r.state.Table(), timesource.Now())
	}
	r.runLeaderTasks()
	r.notifyMembers()
	return r.readyProcessor.Compact(r.raft, r.state.Snapshot)
}

// restoreSnapshot replaces the state by a snapshot from the leader.
func (r *Replica) restoreSnapshot(snapshot *raft.Snapshot) error {
	state, err := control.Restore(snapshot.Data)
	if err != nil {
		return Error.Wrap(err)
	}
	r.state = state
	r.log.Infof("state replaced by a snapshot at index %d", snapshot.Index)
	return nil
}

// applyEntry applies one committed entry and completes its proposal if a
// caller waits for it.
func (r *Replica) applyEntry(entry raft.Entry) {
	var result raftdriver.ProposalResult[control.Result]
	if entry.Kind == raft.EntryCommand {
		command, err := control.DecodeCommand(entry.Data)
		if err != nil {
			// Every replica skips this entry, so that the states stay equal.
			r.log.Errorf("committed entry %d cannot be decoded and is skipped: %v", entry.Index, err)
			result.Err = Error.Wrap(err)
		} else {
			result.Result = r.state.Apply(entry.Index, command)
			r.controller.OnApplied(timesource.Now(), r.state, command, result.Result)
		}
	}
	r.proposals.Complete(entry, result)
}

// updateLeadership reacts to the start and the end of this replica's leadership.
func (r *Replica) updateLeadership() {
	st := r.raft.Status()
	leads := st.Role == raft.Leader && st.TermApplied
	switch {
	case leads && !r.leading:
		r.leading = true
		r.controller.BecomeLeader(timesource.Now())
		r.unserved = newUnservedTimes()
		r.log.Infof("became leader in term %d; no member is declared lost before one lease has passed", st.Term)
	case !leads && r.leading:
		r.leading = false
		r.controller.BecomeFollower()
		r.subscribers.Clear()
		r.log.Infof("no longer leader; the term is %d", st.Term)
	}
}

// runLeaderTasks runs the controller at its interval and proposes its commands,
// on the leader only.
func (r *Replica) runLeaderTasks() {
	now := timesource.Now()
	if now.Since(r.lastControllerTick) < controllerInterval || !r.isActiveLeader() {
		return
	}
	r.lastControllerTick = now
	r.proposeAll(r.controller.Tick(now, r.state))
	r.updatePropagation(now)
}

// proposeAll proposes the controller's commands in order and stops at the
// first that the log rejects. Errors are only logged, because the controller
// retries commands that were not applied.
func (r *Replica) proposeAll(commands []control.Command) {
	for _, command := range commands {
		data, err := control.EncodeCommand(command)
		if err != nil {
			r.log.Errorf("command cannot be encoded: %v", err)
			continue
		}
		if _, err := r.raft.Propose(data); err != nil {
			r.log.Debugf("proposal rejected: %v", err)
			return
		}
	}
}
