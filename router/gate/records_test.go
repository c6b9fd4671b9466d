package gate_test

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/config"
	"bramleyquay.example/coord/control"
	"bramleyquay.example/coord/idempotency"
	"bramleyquay.example/coord/outcome"
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
	"bramleyquay.example/router/call"
	"bramleyquay.example/router/gate"
	"bramleyquay.example/router/member/memberfake"
)

// copyPeer is a gate.PeerClient that acts as a copy in another data centre with
// given records.
type copyPeer struct{ records []idempotency.Record }

// Call implements gate.PeerClient.
func (c copyPeer) Call(_ context.Context, _, method string, params, result any) error {
	switch method {
	case gate.MethodFetchRecords:
		req := params.(idempotency.FetchRequest)
		*result.(*idempotency.FetchReply) = idempotency.FetchReply{Seq: req.Seq, Unit: req.Unit, From: "copy", Epoch: req.Epoch, Incarnation: 9, Last: true, Records: c.records}
	case gate.MethodWriteRecords:
		req := params.(idempotency.WriteRequest)
		*result.(*idempotency.WriteReply) = idempotency.WriteReply{Seq: req.Seq, Unit: req.Unit, From: "copy", Epoch: req.Epoch, Incarnation: 9, Accepted: true}
	}
	return nil
}

// TestInvalidRecordsNeverDispatch guards against a second run of a payment, which
// would follow if a new owner took a copy's invalid record for "not started". The
// first two cases show that payments without a record are dispatched.
func TestInvalidRecordsNeverDispatch(t *testing.T) {
	now := time.Now().UnixMilli()
	digest := sha256.Sum256([]byte("POST\x00/\x00\x00\x00")) // of the request below
	record := func(key string, state idempotency.RecordState, a *idempotency.Response) []idempotency.Record {
		return []idempotency.Record{{Key: key, Digest: digest, State: state, Response: a, CreatedAtMs: now, Epoch: 1, Version: 1}}
	}
	for name, c := range map[string]struct {
		records    []idempotency.Record
		dispatches int64
	}{
		"no record":              {nil, 1},
		"record of another key":  {record("other", idempotency.Started, nil), 1},
		"started":                {record("k", idempotency.Started, nil), 0},
		"finished, no answer":    {record("k", idempotency.Finished, nil), 0},
		"finished, status zero":  {record("k", idempotency.Finished, &idempotency.Response{}), 0},
		"finished, status 99":    {record("k", idempotency.Finished, &idempotency.Response{Status: 99}), 0},
		"started with an answer": {record("k", idempotency.Started, &idempotency.Response{Status: 200}), 0},
		"unknown state":          {record("k", 77, nil), 0},
		"no state":               {record("k", 0, nil), 0},
		"no key":                 {record("", idempotency.Started, nil), 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fx := newFixture(t, 1)
			fx.finishRequests()
			unit := shard.Unit{Keyspace: "pay"}
			doc := &config.Document{Services: []config.Service{{Name: "pay", Payments: true, ShardCount: 1}}}
			v, err := memberfake.View(2, doc, []table.Entry{{Unit: unit, Owner: "self", Epoch: 4, Phase: table.Serving, Copies: []table.MemberID{"copy"}, Sources: []table.MemberID{"copy"}}},
				control.Member{ID: "copy", DataCentre: "b", PeerAddr: "copy"})
			is.NoErr(err)
			members := memberfake.New("self", v)
			g := gate.New(gate.Config{Self: "self", DataCentre: "a", MaxPaymentBody: 1 << 20, MaxRecordedBody: 1 << 16}, members, copyPeer{c.records}, discardLog)
			a := *fx.gate.Status().Target
			a.Service = "pay"
			is.Equal(g.Announce(a), "")
			g.ApplyView(v)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go g.Run(ctx)
			_, refusal := g.Do(ctx, &call.Call{
				Service: "pay", Keyspace: "pay", Hash: 1, IdempotencyKey: "k", Class: 1, Method: http.MethodPost, Path: "/",
				IsBuffered: true, Deadline: time.Now().Add(200 * time.Millisecond),
			})
			is.Equal(fx.received.Load(), c.dispatches)
			is.Equal(refusal == nil, c.dispatches == 1)
		})
	}
}

// TestInvalidRecordMessages guards against record messages that crash the process:
// they are handled in goroutines without a recover.
func TestInvalidRecordMessages(t *testing.T) {
	fx := newFixture(t, 1)
	for i, text := range []string{
		`{}`, `null`, `{"unit":{"service":"keyed","shard":4294967295,"key":18446744073709551615}}`,
		`{"epoch":18446744073709551615,"step":255,"lifetimeMs":-1}`, `{"step":1,"records":[{},{"state":2}]}`,
		`{"step":1,"join":{"epoch":1,"seq":1},"lifetimeMs":9223372036854775807}`, `{"step":3,"join":{"epoch":1,"seq":1},"records":[{"key":"k","state":1,"createdAtMs":-9223372036854775808}]}`,
		`{"step":3,"records":[{"key":"k","state":2,"answer":{"status":-5,"header":{"":[""]}}}]}`, `{"after":"\u0000","incarnation":1}`,
	} {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			is := is.New(t)
			var w idempotency.WriteRequest
			var f idempotency.FetchRequest
			is.NoErr(json.Unmarshal([]byte(text), &w))
			is.NoErr(json.Unmarshal([]byte(text), &f))
			for range 3 {
				_, err := fx.gate.WriteRecords(context.Background(), w)
				is.NoErr(err)
				_, err = fx.gate.FetchRecords(context.Background(), f)
				is.NoErr(err)
			}
			time.Sleep(15 * time.Millisecond) // records expire on a tick
		})
	}
	fx.finishRequests()
	refusal := <-fx.send(context.Background(), 5*time.Second)
	is.New(t).True(refusal == nil || refusal.Outcome == outcome.NotRun) // the gate still works
}

// FuzzRecordMessages guards against a record message that crashes the process.
func FuzzRecordMessages(f *testing.F) {
	f.Add([]byte(`{"step":1,"join":{"epoch":1,"seq":1}}`), []byte(`{"step":3,"join":{"epoch":1,"seq":1},"records":[{"key":"k","state":1}]}`))
	f.Add([]byte(`{"epoch":9}`), []byte(`{"unit":{"service":"pay"},"after":"k"}`))
	f.Fuzz(func(_ *testing.T, first, second []byte) {
		v, err := memberfake.View(1, &config.Document{}, nil)
		if err != nil {
			return
		}
		g := gate.New(gate.Config{Self: "self"}, memberfake.New("self", v), unreachablePeers{}, discardLog)
		for _, data := range [][]byte{first, second, first} {
			var w idempotency.WriteRequest
			var r idempotency.FetchRequest
			if json.Unmarshal(data, &w) == nil {
				_, _ = g.WriteRecords(context.Background(), w)
			}
			if json.Unmarshal(data, &r) == nil {
				_, _ = g.FetchRecords(context.Background(), r)
			}
		}
	})
}
