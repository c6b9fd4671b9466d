package fleetnode

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"bramleyquay.example/router/timesource"
)

// wakeTimeout bounds the notification of one member.
const wakeTimeout = time.Second

// wakers holds the connections on which members renewed, by process.
type wakers struct {
	mu    sync.Mutex
	conns map[string]*jsonrpc2.Conn
}

func newWakers() *wakers { return &wakers{conns: map[string]*jsonrpc2.Conn{}} }

func (w *wakers) set(process string, conn *jsonrpc2.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conns[process] = conn
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
	for process, conn := range w.conns {
		select {
		case <-conn.DisconnectNotify():
			delete(w.conns, process)
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
	now := timesource.Boot()
	if !n.leader.Leading() || now.MonoSince(n.woken) < wakeInterval {
		return
	}
	revisions := n.state.Revisions()
	changed := revisions != n.seen
	if directory := n.leader.Directory(); directory != n.listed && now.MonoSince(n.woken) >= directoryInterval {
		n.listed, changed = directory, true
	}
	if changed {
		n.seen, n.woken = revisions, now
		n.wakers.wakeAll()
	}
}
