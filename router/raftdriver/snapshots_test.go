package raftdriver

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/raft"
	"bramleyquay.example/router/logging"
	"bramleyquay.example/router/memory"
	"bramleyquay.example/router/peer"
)

// receivingPeer serves a receiver on loopback and returns its address.
func receivingPeer(t *testing.T, r *SnapshotReceiver) string {
	t.Helper()
	s := peer.NewServer()
	s.LimitMemory(r.memory)
	s.Handle(MethodSnapshotPart, peer.Bind(r.Receive))
	l, err := peer.Listen("127.0.0.1:0", nil, nil, discardLog{}, func(c net.Conn) { s.ServeConn(t.Context(), c) })
	if err != nil {
		t.Fatal(err)
	}
	go l.Serve(t.Context())
	return l.Addr().String()
}

type discardLog struct{}

func (discardLog) Warnf(string, ...any) {}

func snapshotMessage(size int) raft.Message {
	data := bytes.Repeat([]byte("0123456789abcdef"), size/16)
	return raft.Message{Kind: raft.MsgSnapshot, From: "a", To: "b", Term: 3, Snapshot: &raft.Snapshot{
		Index: 9, Term: 2, Membership: raft.Membership{Voters: []raft.ID{"a"}}, Data: data}}
}

// Guards against a replica that can never catch up, because the snapshot is larger than the
// messages that its memory allows.
func TestLargeSnapshotIsSentInParts(t *testing.T) {
	is := is.New(t)
	got := make(chan raft.Message, 1)
	r := &SnapshotReceiver{Deliver: func(m raft.Message) { got <- m }}
	pool := memory.NewPool(16 << 20)
	r.LimitMemory(pool)
	client := peer.NewClient(&peer.Dialer{}, nil)
	defer client.Close()
	addr := receivingPeer(t, r)
	transport := NewTransport(client, func(raft.ID) string { return addr }, logging.Logger{})
	defer transport.Close()
	m := snapshotMessage(5 << 20) // more than the memory of the pool in one message of JSON
	transport.Send([]raft.Message{m, m})
	select {
	case received := <-got:
		is.Equal(received, m)
	case <-time.After(10 * time.Second):
		t.Fatal("the snapshot did not arrive")
	}
	is.Equal(pool.Used() < 1<<20, true)
}

// Guards against parts that are lost, repeated, out of order or of another snapshot and
// change what the replica gets, and against a snapshot that takes more than its memory.
func TestPartsOfSnapshots(t *testing.T) {
	is := is.New(t)
	var got []raft.Message
	r := &SnapshotReceiver{Deliver: func(m raft.Message) { got = append(got, m) }}
	r.LimitMemory(memory.NewPool(4 << 20))
	part := func(m raft.Message, offset int) SnapshotPart {
		meta := *m.Snapshot
		data := meta.Data
		meta.Data, m.Snapshot = nil, &meta
		return SnapshotPart{Message: m, Size: len(data), Offset: offset, Data: data[offset:min(offset+1000, len(data))]}
	}
	send := func(p SnapshotPart) int {
		data, err := json.Marshal(p)
		is.NoErr(err)
		var sent SnapshotPart
		is.NoErr(json.Unmarshal(data, &sent))
		reply, err := r.Receive(context.Background(), sent)
		is.NoErr(err)
		return reply.Received
	}
	m := snapshotMessage(3200)
	is.Equal(send(part(m, 1000)), 0) // without the first part
	is.Equal(send(part(m, 0)), 1000)
	is.Equal(send(part(m, 0)), 1000) // repeated
	is.Equal(send(part(m, 2000)), 1000)
	is.Equal(send(part(m, 1000)), 2000)
	is.Equal(send(part(m, 2000)), 3000)
	later := snapshotMessage(3200)
	later.Snapshot.Index = 12
	is.Equal(send(part(later, 0)), 1000) // replaces the other one
	is.Equal(send(part(m, 3000)), 0)
	for at := 0; at < 3200; at = send(part(later, at)) {
	}
	is.Equal(got, []raft.Message{later})
	_, err := r.Receive(context.Background(), SnapshotPart{Message: m, Size: 3 << 20, Data: []byte("x")})
	is.True(err != nil) // more than an account may have
	_, err = r.Receive(context.Background(), SnapshotPart{Message: m, Size: 2, Offset: 1, Data: []byte("xx")})
	is.True(err != nil)
	is.Equal(r.memory.Used(), int64(0))
}
