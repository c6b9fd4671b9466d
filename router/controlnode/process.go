package controlnode

import (
	"bramleyquay.example/coord/control"
	"bramleyquay.example/coord/raft"
	"bramleyquay.example/router/raftdriver"
	"bramleyquay.example/router/timesource"
)

// process carries out the log's work until there is none left.
func (n *Replica) process() error {
	if n.raft == nil {
		return nil
	}
	machine := raftdriver.StateMachine{Restore: n.install, Apply: n.applyEntry, OnAdvance: n.follow}
	if err := n.work.Process(n.raft, machine); err != nil {
		return err
	}
	if n.leading {
		n.gaps.follow(n.state.Table(), timesource.Now())
	}
	n.review()
	n.wake()
	return n.work.Compact(n.raft, n.state.Snapshot)
}

// install replaces the state by a snapshot from the leader.
func (n *Replica) install(s *raft.Snapshot) error {
	state, err := control.Restore(s.Data)
	if err != nil {
		return Error.Wrap(err)
	}
	n.state = state
	n.log.Infof("caught up by a snapshot at index %d", s.Index)
	return nil
}

// applyEntry applies one committed entry and answers who waits for it.
func (n *Replica) applyEntry(e raft.Entry) {
	var p raftdriver.ProposalResult[control.Result]
	if e.Kind == raft.EntryCommand {
		cmd, err := control.DecodeCommand(e.Data)
		if err != nil {
			// Every replica skips the entry in the same way.
			n.log.Errorf("entry %d cannot be decoded: %v", e.Index, err)
			p.Err = Error.Wrap(err)
		} else {
			p.Result = n.state.Apply(e.Index, cmd)
			n.controller.OnApplied(timesource.Now(), n.state, cmd, p.Result)
		}
	}
	n.proposals.Complete(e, p)
}

// follow notes the begin and end of leadership.
func (n *Replica) follow() {
	st := n.raft.Status()
	leads := st.Role == raft.Leader && st.TermApplied
	switch {
	case leads && !n.leading:
		n.leading = true
		n.controller.BecomeLeader(timesource.Now())
		n.gaps = newGaps()
		n.log.Infof("leads in term %d; no loss is declared before one lease has passed", st.Term)
	case !leads && n.leading:
		n.leading = false
		n.controller.BecomeFollower()
		n.wakers.Clear()
		n.log.Infof("no longer leads; term %d", st.Term)
	}
}

// review lets the leader look at leases and moves.
func (n *Replica) review() {
	now := timesource.Now()
	if now.Since(n.lastReview) < controllerInterval || !n.serves() {
		return
	}
	n.lastReview = now
	n.proposeAll(n.controller.Tick(now, n.state))
	n.reviewSpread(now)
}

// proposeAll proposes the controller's commands. The controller repeats those
// whose effect it does not see.
func (n *Replica) proposeAll(commands []control.Command) {
	for _, c := range commands {
		data, err := control.EncodeCommand(c)
		if err != nil {
			n.log.Errorf("command cannot be encoded: %v", err)
			continue
		}
		if _, err := n.raft.Propose(data); err != nil {
			n.log.Debugf("proposal refused: %v", err)
			return
		}
	}
}
