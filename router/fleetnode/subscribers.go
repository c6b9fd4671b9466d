package fleetnode

import "bramleyquay.example/router/timesource"

// wake notifies the members if something they follow has changed.
func (n *Replica) wake() {
	now := timesource.BootTime()
	if !n.leader.IsLeader() || now.MonoSince(n.woken) < wakeInterval {
		return
	}
	revisions := n.state.Revisions()
	changed := revisions != n.seen
	if directory := n.leader.DirectoryRevision(); directory != n.listed && now.MonoSince(n.woken) >= directoryInterval {
		n.listed, changed = directory, true
	}
	if changed {
		n.seen, n.woken = revisions, now
		n.wakers.NotifyAll()
	}
}
