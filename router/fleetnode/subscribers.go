package fleetnode

import "bramleyquay.example/router/timesource"

// notifyMembers asks the members to renew at once if the state, the refused
// requests or the directory have changed since the last notification. Changes of the directory
// only are notified less often.
func (r *Replica) notifyMembers() {
	now := timesource.BootTime()
	if !r.leader.IsLeader() || now.MonoSince(r.lastNotified) < notifyInterval {
		return
	}
	revisions := r.state.Revisions()
	revisions.Quarantine = r.leader.RefusalRevision()
	changed := revisions != r.notifiedRevisions
	if directory := r.leader.DirectoryRevision(); directory != r.notifiedDirectory && now.MonoSince(r.lastNotified) >= directoryNotifyInterval {
		r.notifiedDirectory, changed = directory, true
	}
	if changed {
		r.notifiedRevisions, r.lastNotified = revisions, now
		r.subscribers.NotifyAll()
	}
}
