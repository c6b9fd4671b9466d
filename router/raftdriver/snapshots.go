package raftdriver

import (
	"context"
	"errors"
	"sync"
	"time"

	"bramleyquay.example/coord/raft"
	"bramleyquay.example/router/memory"
)

// MethodSnapshotPart is the jsonrpc2 method of the parts of a snapshot.
const MethodSnapshotPart = "raft.snapshot"

const (
	// snapshotPartBytes is the size of a part. A larger one needs fewer round trips and
	// more memory on both sides, and delays other messages longer.
	snapshotPartBytes = 256 << 10
	// snapshotPartTimeout is the time limit for one part and its answer.
	snapshotPartTimeout = 2 * time.Second
	// maxSnapshotBytes bounds a received snapshot.
	maxSnapshotBytes = 256 << 20
)

// SnapshotPart is a part of a snapshot that is too large for one message.
type SnapshotPart struct {
	// Message is the raft.MsgSnapshot without its data.
	Message raft.Message `json:"message"`
	// Size is the size of the data in bytes, and Offset the position of Data in it.
	Size   int    `json:"size"`
	Offset int    `json:"offset"`
	Data   []byte `json:"data"`
}

// SnapshotPartReply is the answer to a part. Received is the number of bytes that the
// replica has of this snapshot, from its start on.
type SnapshotPartReply struct {
	Received int `json:"received"`
}

// errUnexpectedReply means that a replica asks for a part that does not follow.
var errUnexpectedReply = errors.New("the replica does not take the snapshot")

// sendInParts sends the parts of a snapshot one after the other, each once the one before
// it was answered. It blocks until the last one was answered or ctx ends. After an error
// raft sends the snapshot again.
func (t *Transport) sendInParts(ctx context.Context, addr string, m raft.Message) error {
	data := m.Snapshot.Data
	meta := *m.Snapshot
	meta.Data, m.Snapshot = nil, &meta
	for offset := 0; offset < len(data); {
		part := SnapshotPart{Message: m, Size: len(data), Offset: offset, Data: data[offset:min(offset+snapshotPartBytes, len(data))]}
		reply, err := t.sendPart(ctx, addr, part)
		if err != nil {
			return err
		}
		if reply.Received <= offset || reply.Received > len(data) {
			return errUnexpectedReply
		}
		offset = reply.Received
	}
	return nil
}

func (t *Transport) sendPart(ctx context.Context, addr string, part SnapshotPart) (SnapshotPartReply, error) {
	ctx, cancel := context.WithTimeout(ctx, snapshotPartTimeout)
	defer cancel()
	var reply SnapshotPartReply
	err := t.client.Call(ctx, addr, MethodSnapshotPart, part, &reply)
	return reply, err
}

// SnapshotReceiver assembles the snapshots that leaders send in parts, one at a time. It
// is safe for concurrent use.
type SnapshotReceiver struct {
	// Deliver gets each complete message. It must not block.
	Deliver func(raft.Message)

	mu      sync.Mutex
	memory  *memory.Pool
	account *memory.Account
	message raft.Message // of the snapshot that is being received
	size    int
	data    []byte
}

// LimitMemory sets the memory that a snapshot takes while it is received. A part for which
// there is none is refused, and the leader sends the snapshot again later. It must be
// called before the first part.
func (r *SnapshotReceiver) LimitMemory(p *memory.Pool) { r.memory = p }

// errNoSnapshotMemory refuses a part.
var errNoSnapshotMemory = errors.New("there is no memory for the snapshot at the moment")

// Receive handles a part. A first part replaces a snapshot that is not complete; any other
// one counts only if it is the next one.
func (r *SnapshotReceiver) Receive(_ context.Context, part SnapshotPart) (SnapshotPartReply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if part.Message.Snapshot == nil || part.Size <= 0 || part.Size > maxSnapshotBytes || part.Offset < 0 || len(part.Data) > part.Size-part.Offset {
		return SnapshotPartReply{}, errors.New("malformed part of a snapshot")
	}
	if !r.continues(part) {
		r.discard()
		if part.Offset > 0 {
			return SnapshotPartReply{}, nil
		}
		if err := r.begin(part); err != nil {
			return SnapshotPartReply{}, err
		}
	}
	if part.Offset == len(r.data) {
		r.data = append(r.data, part.Data...)
	}
	received := len(r.data)
	if received == r.size {
		m, s := r.message, *r.message.Snapshot
		s.Data = r.data
		m.Snapshot = &s
		r.discard()
		r.Deliver(m)
	}
	return SnapshotPartReply{Received: received}, nil
}

// continues reports whether a part belongs to the snapshot that is being received.
func (r *SnapshotReceiver) continues(part SnapshotPart) bool {
	if r.message.Snapshot == nil {
		return false
	}
	a, b := r.message.Snapshot, part.Message.Snapshot
	return r.message.From == part.Message.From && r.message.Term == part.Message.Term && a.Index == b.Index && a.Term == b.Term && r.size == part.Size
}

func (r *SnapshotReceiver) begin(part SnapshotPart) error {
	r.account = r.memory.Open()
	if r.account.Grow(int64(part.Size)) != nil {
		r.discard()
		return errNoSnapshotMemory
	}
	r.message, r.size, r.data = part.Message, part.Size, make([]byte, 0, part.Size)
	return nil
}

func (r *SnapshotReceiver) discard() {
	r.account.Close()
	r.account, r.message, r.size, r.data = nil, raft.Message{}, 0, nil
}
