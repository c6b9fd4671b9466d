package controlnode

import (
	"time"

	"bramleyquay.example/router/timesource"
)

// MethodRenewNow is the notification that tells a member to renew at once.
const MethodRenewNow = "member.wake"

// wakeInterval is the least time between two notifications of all members. A
// change after a pause goes out at once; during a burst of changes, such as the
// drain of a data centre, members are woken 20 times a second instead of once
// for each change.
const wakeInterval = 50 * time.Millisecond

// wake notifies the members if something they follow has changed.
func (n *Replica) wake() {
	at := timesource.Now()
	if !n.leading || at.MonoSince(n.woken) < wakeInterval {
		return
	}
	config, _, _ := n.state.Document()
	now := revisions{table: n.state.Table().Revision(), config: config, directory: n.state.DirectoryRevision()}
	if now != n.seen {
		n.seen, n.woken = now, at
		n.wakers.NotifyAll()
	}
}
