package controlnode

import (
	"context"
	"encoding/json"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/raft"
	"bramleyquay.example/router/logging"
	"bramleyquay.example/router/peer"
)

var discardLog = logging.ForComponent(logging.New(io.Discard, "error", false), "test")

// Guards against a malformed message that stops the replica or makes its data
// directory unusable: the replica answers after each message, and its data
// directory can be opened again at the end.
func TestMalformedMessages(t *testing.T) {
	is := is.New(t)
	cfg := Config{ID: "one", Cluster: "c", DataDir: t.TempDir(), SnapshotEntries: 100}
	replica, err := Open(cfg, peer.NewClient(&peer.Dialer{}, nil), discardLog)
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- replica.Run(ctx) }()
	var id raft.ID
	for end := time.Now().Add(5 * time.Second); id == ""; time.Sleep(5 * time.Millisecond) {
		st, started, err := replica.Status(ctx)
		is.NoErr(err)
		is.True(time.Now().Before(end)) // the replica has started
		if started {
			id = st.ID
		}
	}
	// The fields are those of raft.Message: k kind, f sender, t term, i and lt
	// index and term of the entry before, e entries, c commit index, rd heartbeat
	// round, s snapshot.
	for i, text := range []string{
		`{}`, `{"k":255,"f":"x","t":1}`, `{"k":6,"f":"x","t":18446744073709551615}`, `{"k":6,"f":"","t":1}`,
		`{"k":5,"f":"x","t":1,"e":[{}]}`, `{"k":5,"f":"x","t":1,"i":9,"lt":1,"e":[{"i":11,"t":1}]}`, `{"k":9,"f":"x","t":9}`,
		`{"k":9,"f":"x","t":9,"s":{}}`, `{"k":10,"f":"x","t":3}`, `{"k":7,"f":"x","t":3,"c":99,"rd":1}`, `{"k":8,"f":"x","t":3,"rd":7}`,
	} {
		var m raft.Message
		is.NoErr(json.Unmarshal([]byte(text), &m))
		m.To = id
		_, err := replica.step(ctx, m)
		is.NoErr(err)
		_, _, err = replica.Status(ctx)
		is.NoErr(err)
		t.Log(i, text)
	}
	// A snapshot that is valid for the log, but whose data is not a state.
	_, err = replica.step(ctx, raft.Message{Kind: raft.MsgSnapshot, From: "x", To: id, Term: 9, Snapshot: &raft.Snapshot{
		Index: 10, Term: 4, Membership: raft.Membership{Voters: []raft.ID{"x"}}, Data: []byte("nonsense"),
	}})
	is.NoErr(err)
	_, _, err = replica.Status(ctx)
	is.NoErr(err)
	cancel()
	is.NoErr(<-ended)
	reopened, err := Open(cfg, peer.NewClient(&peer.Dialer{}, nil), discardLog)
	is.NoErr(err) // everything in the data directory can be restored
	is.NoErr(reopened.store.Close())
}
