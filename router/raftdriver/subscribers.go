package raftdriver

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// notifyTimeout is the timeout of the context for one notification. jsonrpc2
// ignores the context while it writes, so the notification of a member that
// does not read blocks until its connection ends.
const notifyTimeout = time.Second

// Subscribers contains, by member, the connections on which members last
// renewed. It is safe for concurrent use.
type Subscribers[K comparable] struct {
	method string
	mu     sync.Mutex
	conns  map[K]*jsonrpc2.Conn
}

// NewSubscribers returns an empty set of subscribers. method is the jsonrpc2
// method of the notifications.
func NewSubscribers[K comparable](method string) *Subscribers[K] {
	return &Subscribers[K]{method: method, conns: map[K]*jsonrpc2.Conn{}}
}

// Subscribe records a member's newest connection.
func (s *Subscribers[K]) Subscribe(id K, conn *jsonrpc2.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[id] = conn
}

// Clear removes all connections.
func (s *Subscribers[K]) Clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.conns)
}

// NotifyAll notifies every member and does not wait for it. Each notification
// has its own goroutine, because the write to a member that does not read
// blocks until its connection ends; until then each further notification adds
// a goroutine that waits for it. Closed connections are removed.
func (s *Subscribers[K]) NotifyAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, conn := range s.conns {
		select {
		case <-conn.DisconnectNotify():
			delete(s.conns, id)
			continue
		default:
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
			defer cancel()
			_ = conn.Notify(ctx, s.method, struct{}{}) // without it, the member renews at its next interval
		}()
	}
}
