package raftdriver

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// wakeTimeout bounds the notification of one member.
const wakeTimeout = time.Second

// Subscribers holds the connections on which members renewed, by member.
type Subscribers[K comparable] struct {
	method string
	mu     sync.Mutex
	conns  map[K]*jsonrpc2.Conn
}

// NewWakers returns subscribers that get notifications of a method.
func NewWakers[K comparable](method string) *Subscribers[K] {
	return &Subscribers[K]{method: method, conns: map[K]*jsonrpc2.Conn{}}
}

// Subscribe records a member's newest connection.
func (w *Subscribers[K]) Subscribe(id K, conn *jsonrpc2.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conns[id] = conn
}

// Clear forgets all connections.
func (w *Subscribers[K]) Clear() {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.conns)
}

// NotifyAll notifies every member on a goroutine of its own, because a member
// that does not read blocks the sender.
func (w *Subscribers[K]) NotifyAll() {
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
