package controlnode

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"bramleyquay.example/coord/table"
	"bramleyquay.example/router/timesource"
)

// MethodWake is the notification that tells a member to renew at once.
const MethodWake = "member.wake"

// wakeTimeout bounds the notification of one member.
const wakeTimeout = time.Second

// wakers holds the connections on which members renewed.
type wakers struct {
	mu    sync.Mutex
	conns map[table.MemberID]*jsonrpc2.Conn
}

func newWakers() *wakers { return &wakers{conns: map[table.MemberID]*jsonrpc2.Conn{}} }

func (w *wakers) set(id table.MemberID, conn *jsonrpc2.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conns[id] = conn
}

func (w *wakers) clear() {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.conns)
}

// wakeAll notifies every member on a goroutine of its own, because a member
// that does not read blocks the sender.
func (w *wakers) wakeAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, conn := range w.conns {
		select {
		case <-conn.DisconnectNotify():
			delete(w.conns, id)
			continue
		default:
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), wakeTimeout)
			defer cancel()
			_ = conn.Notify(ctx, MethodWake, struct{}{}) // the member renews anyway
		}()
	}
}

// wakeInterval is the least time between two notifications of all members. A
// change after a pause goes out at once; during a burst of changes, such as the
// drain of a data centre, members are woken 20 times a second instead of once
// for each change.
const wakeInterval = 50 * time.Millisecond

// wake notifies the members if something they follow has changed.
func (n *Node) wake() {
	at := timesource.Now()
	if !n.leading || at.MonoSince(n.woken) < wakeInterval {
		return
	}
	config, _, _ := n.state.Config()
	now := revisions{table: n.state.Table().Revision(), config: config, directory: n.state.DirectoryRevision()}
	if now != n.seen {
		n.seen, n.woken = now, at
		n.wakers.wakeAll()
	}
}
