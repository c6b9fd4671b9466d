// Package raftdriver carries a replicated log's messages and time between
// replicas and their processes.
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
	// outboxLength bounds the messages that wait for one replica. The log
	// repeats what is dropped.
	outboxLength = 1024
	// sendTimeout bounds the sending of one message.
	sendTimeout = time.Second
)

// Transport sends messages to other replicas, one goroutine each, so that a
// replica that does not read cannot delay the others.
type Transport struct {
	client  *peer.Client
	address func(raft.ID) string
	log     logging.Logger

	mu     sync.Mutex
	queues map[raft.ID]chan addressed
	closed bool
}

// addressed is a message with its destination's address at the time of sending.
type addressed struct {
	addr string
	msg  raft.Message
}

// NewOutbox returns a transport. address returns a replica's peer address, or an
// empty text if it is not known.
func NewOutbox(client *peer.Client, address func(raft.ID) string, log logging.Logger) *Transport {
	return &Transport{client: client, address: address, log: log, queues: map[raft.ID]chan addressed{}}
}

// Send queues messages. What does not fit is dropped; the log sends it again.
func (t *Transport) Send(messages []raft.Message) {
	for _, m := range messages {
		addr := t.address(m.To)
		if addr == "" {
			t.log.Debugf("no address is known for replica %s", m.To)
			continue
		}
		select {
		case t.queue(m.To) <- addressed{addr: addr, msg: m}:
		default: // full; the log sends it again
		}
	}
}

func (t *Transport) queue(id raft.ID) chan addressed {
	t.mu.Lock()
	defer t.mu.Unlock()
	q := t.queues[id]
	if q == nil {
		q = make(chan addressed, outboxLength)
		t.queues[id] = q
		if !t.closed {
			go t.deliver(q)
		}
	}
	return q
}

func (t *Transport) deliver(q chan addressed) {
	for m := range q {
		ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
		stuck := time.AfterFunc(sendTimeout, func() { t.client.Drop(m.addr) })
		err := t.client.Notify(ctx, m.addr, MethodStep, m.msg)
		stuck.Stop()
		cancel()
		if err != nil {
			t.log.Debugf("message to replica %s failed: %v", m.msg.To, err)
		}
	}
}

// Close ends the delivery.
func (t *Transport) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return
	}
	t.closed = true
	for _, q := range t.queues {
		close(q)
	}
}
