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

// NewOutbox returns an outbox. address returns a replica's peer address, or an
// empty text if it is not known.
func NewOutbox(client *peer.Client, address func(raft.ID) string, log logging.Logger) *Transport {
	return &Transport{client: client, address: address, log: log, queues: map[raft.ID]chan addressed{}}
}

// Send queues messages. What does not fit is dropped; the log sends it again.
func (o *Transport) Send(messages []raft.Message) {
	for _, m := range messages {
		addr := o.address(m.To)
		if addr == "" {
			o.log.Debugf("no address is known for replica %s", m.To)
			continue
		}
		select {
		case o.queue(m.To) <- addressed{addr: addr, msg: m}:
		default: // full; the log sends it again
		}
	}
}

func (o *Transport) queue(id raft.ID) chan addressed {
	o.mu.Lock()
	defer o.mu.Unlock()
	q := o.queues[id]
	if q == nil {
		q = make(chan addressed, outboxLength)
		o.queues[id] = q
		if !o.closed {
			go o.deliver(q)
		}
	}
	return q
}

func (o *Transport) deliver(q chan addressed) {
	for m := range q {
		ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
		stuck := time.AfterFunc(sendTimeout, func() { o.client.Drop(m.addr) })
		err := o.client.Notify(ctx, m.addr, MethodStep, m.msg)
		stuck.Stop()
		cancel()
		if err != nil {
			o.log.Debugf("message to replica %s failed: %v", m.msg.To, err)
		}
	}
}

// Close ends the delivery.
func (o *Transport) Close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return
	}
	o.closed = true
	for _, q := range o.queues {
		close(q)
	}
}
