package raftdriver

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// wakeTimeout bounds the notification of one member.
const wakeTimeout = time.Second

// Wakers holds the connections on which members renewed, by member.
type Wakers[K comparable] struct {
	method string
	mu     sync.Mutex
	conns  map[K]*jsonrpc2.Conn
}

// NewWakers returns wakers that send notifications of a method.
func NewWakers[K comparable](method string) *Wakers[K] {
	return &Wakers[K]{method: method, conns: map[K]*jsonrpc2.Conn{}}
}

// Set records a member's newest connection.
func (w *Wakers[K]) Set(id K, conn *jsonrpc2.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conns[id] = conn
}

// Clear forgets all connections.
func (w *Wakers[K]) Clear() {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.conns)
}

// WakeAll notifies every member on a goroutine of its own, because a member
// that does not read blocks the sender.
func (w *Wakers[K]) WakeAll() {
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
			_ = conn.Notify(ctx, w.method, struct{}{}) // the member renews anyway
		}()
	}
}
