// Package raftdriver runs a raft node for the control replicas of both modes
// (packages controlnode and fleetnode): it stores and applies what the node has
// ready, sends its messages, counts its ticks and runs functions on the
// goroutine that owns the node.
package raftdriver

import (
	"context"
	"sync"
	"time"

	"bramleyquay.example/coord/raft"
	"bramleyquay.example/router/logging"
	"bramleyquay.example/router/peer"
)

// MethodStep is the jsonrpc2 method of messages between replicas.
const MethodStep = "raft.step"

const (
	// sendQueueLength is the largest number of messages that are queued for
	// one replica. Raft retries messages that are dropped.
	sendQueueLength = 1024
	// sendTimeout is the longest time for sending one message.
	sendTimeout = time.Second
)

// Transport sends messages to other replicas. Each replica has its own queue
// and goroutine, so that one that does not read cannot delay messages to the
// others.
type Transport struct {
	client  *peer.Client
	address func(raft.ID) string
	log     logging.Logger

	mu     sync.Mutex
	queues map[raft.ID]chan outgoingMessage
	closed bool
	// snapshots are the replicas to which a snapshot is being sent in parts. ctx ends
	// these transfers.
	snapshots map[raft.ID]bool
	ctx       context.Context
	cancel    context.CancelFunc
}

// outgoingMessage is a message with the address of its destination at the time
// when it was queued.
type outgoingMessage struct {
	addr string
	msg  raft.Message
}

// NewTransport returns a transport. Send calls address on its caller's
// goroutine. address returns a replica's peer address, or an empty string if
// it is not known; messages to such replicas are dropped.
func NewTransport(client *peer.Client, address func(raft.ID) string, log logging.Logger) *Transport {
	ctx, cancel := context.WithCancel(context.Background())
	return &Transport{
		client: client, address: address, log: log, queues: map[raft.ID]chan outgoingMessage{},
		snapshots: map[raft.ID]bool{}, ctx: ctx, cancel: cancel,
	}
}

// Send queues messages and does not block. If the queue of a replica is full,
// messages to it are dropped; raft retries them.
func (t *Transport) Send(messages []raft.Message) {
	for _, m := range messages {
		addr := t.address(m.To)
		if addr == "" {
			t.log.Debugf("no address is known for replica %s", m.To)
			continue
		}
		if s := m.Snapshot; s != nil && len(s.Data) > snapshotPartBytes {
			t.startSnapshot(addr, m)
			continue
		}
		select {
		case t.queue(m.To) <- outgoingMessage{addr: addr, msg: m}:
		default: // the queue is full; raft retries
		}
	}
}

// startSnapshot sends a snapshot in parts, beside the queue of the replica. While one is
// being sent to a replica, further ones to it are dropped.
func (t *Transport) startSnapshot(addr string, m raft.Message) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.snapshots[m.To] {
		return
	}
	t.snapshots[m.To] = true
	go func() {
		err := t.sendInParts(t.ctx, addr, m)
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.snapshots, m.To)
		if err != nil {
			t.log.Debugf("snapshot for replica %s at index %d failed: %v", m.To, m.Snapshot.Index, err)
		}
	}()
}

// queue returns the queue of a replica and starts its goroutine at the first
// use.
func (t *Transport) queue(id raft.ID) chan outgoingMessage {
	t.mu.Lock()
	defer t.mu.Unlock()
	q := t.queues[id]
	if q == nil {
		q = make(chan outgoingMessage, sendQueueLength)
		t.queues[id] = q
		if !t.closed {
			go t.deliver(q)
		}
	}
	return q
}

// deliver sends the messages of a queue until it is closed. jsonrpc2 ignores
// the context while it writes; a connection on which a message could not be
// sent within sendTimeout is therefore closed, which ends the write.
func (t *Transport) deliver(q chan outgoingMessage) {
	for m := range q {
		ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
		dropTimer := time.AfterFunc(sendTimeout, func() { t.client.Drop(m.addr) })
		err := t.client.Notify(ctx, m.addr, MethodStep, m.msg)
		dropTimer.Stop()
		cancel()
		if err != nil {
			t.log.Debugf("message to replica %s failed: %v", m.msg.To, err)
		}
	}
}

// Close ends the delivery once the queued messages are sent, and does not wait
// for it. Send must not be called at the same time or later, because it panics
// on a closed queue.
func (t *Transport) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return
	}
	t.closed = true
	t.cancel()
	for _, q := range t.queues {
		close(q)
	}
}
