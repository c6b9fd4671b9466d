package controlnode

import (
	"time"

	"bramleyquay.example/router/timesource"
)

// MethodRenewNow is the jsonrpc2 method of the notification that asks a member
// to renew at once.
const MethodRenewNow = "member.wake"

// notifyInterval is the minimum time between two notifications of all members.
// A change after a quiet period is notified at once. During a burst of changes,
// such as the drain of a data centre, members are notified 20 times per second
// instead of once for each change.
const notifyInterval = 50 * time.Millisecond

// notifyMembers asks the members to renew at once if the table, the
// configuration or the directory has changed since the last notification.
func (r *Replica) notifyMembers() {
	now := timesource.Now()
	if !r.leading || now.MonoSince(r.lastNotified) < notifyInterval {
		return
	}
	config, _, _ := r.state.Document()
	current := revisions{table: r.state.Table().Revision(), config: config, directory: r.state.DirectoryRevision()}
	if current != r.notifiedRevisions {
		r.notifiedRevisions, r.lastNotified = current, now
		r.subscribers.NotifyAll()
	}
}
