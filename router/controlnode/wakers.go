package controlnode

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"bramleyquay.example/coord/table"
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

// wake notifies the members if something they follow has changed.
func (n *Node) wake() {
	if !n.leading {
		return
	}
	config, _, _ := n.state.Config()
	now := revisions{table: n.state.Table().Revision(), config: config, directory: n.state.DirectoryRevision()}
	if now != n.seen {
		n.seen = now
		n.wakers.wakeAll()
	}
}
