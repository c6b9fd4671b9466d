package controlnode

import (
	"bramleyquay.example/coord/control"
	"bramleyquay.example/coord/raft"
	"bramleyquay.example/router/timesource"
)

// process carries out the log's work until there is none left.
func (n *Node) process() error {
	if n.raft == nil {
		return nil
	}
	for n.raft.HasReady() {
		r := n.raft.Ready()
		if err := n.persist(r); err != nil {
			return err
		}
		n.outbox.Send(r.Messages)
		if err := n.install(r.Snapshot); err != nil {
			return err
		}
		for _, e := range r.Committed {
			n.applyEntry(e)
		}
		n.raft.Advance(r)
		n.follow()
	}
	if n.leading {
		n.gaps.follow(n.state.Table(), timesource.Now())
	}
	n.review()
	n.wake()
	return n.compact()
}

// persist stores what must be synced before the messages are sent.
func (n *Node) persist(r raft.Ready) error {
	if r.Snapshot != nil {
		if err := n.store.SaveSnapshot(*r.Snapshot); err != nil {
			return err
		}
	}
	return n.store.Save(r.Hard, r.Entries)
}

// install replaces the state by a snapshot from the leader.
func (n *Node) install(s *raft.Snapshot) error {
	if s == nil || len(s.Data) == 0 {
		return nil
	}
	state, err := control.Restore(s.Data)
	if err != nil {
		return Error.Wrap(err)
	}
	n.state, n.compacted = state, s.Index
	n.log.Infof("caught up by a snapshot at index %d", s.Index)
	return nil
}

// applyEntry applies one committed entry and answers who waits for it.
func (n *Node) applyEntry(e raft.Entry) {
	var p proposed
	if e.Kind == raft.EntryCommand {
		cmd, err := control.DecodeCommand(e.Data)
		if err != nil {
			// Every replica skips the entry in the same way.
			n.log.Errorf("entry %d cannot be decoded: %v", e.Index, err)
			p.err = Error.Wrap(err)
		} else {
			p.result = n.state.Apply(e.Index, cmd)
			n.controller.Applied(timesource.Now(), n.state, cmd, p.result)
		}
	}
	w, ok := n.waiting[e.Index]
	if !ok {
		return
	}
	delete(n.waiting, e.Index)
	if w.term != e.Term {
		p = proposed{err: errLost}
	}
	w.result <- p
}

// follow notes the begin and end of leadership.
func (n *Node) follow() {
	st := n.raft.Status()
	leads := st.Role == raft.Leader && st.TermApplied
	switch {
	case leads && !n.leading:
		n.leading = true
		n.controller.Lead(timesource.Now())
		n.gaps = newGaps()
		n.log.Infof("leads in term %d; no loss is declared before one lease has passed", st.Term)
	case !leads && n.leading:
		n.leading = false
		n.controller.Follow()
		n.wakers.Clear()
		n.log.Infof("no longer leads; term %d", st.Term)
	}
}

// review lets the leader look at leases and moves.
func (n *Node) review() {
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
func (n *Node) proposeAll(commands []control.Command) {
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

// compact replaces the log by a snapshot once it has grown.
func (n *Node) compact() error {
	applied := n.raft.Status().Applied
	if applied < n.compacted+n.cfg.SnapshotEntries {
		return nil
	}
	data, err := n.state.Snapshot()
	if err != nil {
		return Error.Wrap(err)
	}
	if err := n.raft.Compact(applied, data); err != nil {
		return Error.Wrap(err)
	}
	n.compacted = applied
	return n.store.SaveSnapshot(n.raft.Snapshot())
}
