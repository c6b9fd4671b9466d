package idempotency_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"bramleyquay.example/coord/idempotency"
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

// entries returns the lookup of a table with these entries.
func entries(list ...*table.Entry) func(shard.Unit) *table.Entry {
	return func(u shard.Unit) *table.Entry {
		for _, e := range list {
			if e.Unit == u {
				return e
			}
		}
		return nil
	}
}

// TestKeep guards against a copy that drops records it has to hold, and
// against one that holds records for ever.
func TestKeep(t *testing.T) {
	is := is.New(t)
	r := servingRig(idempotency.Config{})
	r.pay(1, "k")
	c := r.copies["b"]
	entry := &table.Entry{Unit: testUnit, Owner: "a", Epoch: 2, Copies: []table.MemberID{"b"}}
	c.Prune(r.now, entries(entry))
	is.Equal(c.Status().Records, 1)
	c.Prune(r.now, entries(&table.Entry{Unit: testUnit, Owner: "a", Epoch: 1})) // an older table
	is.Equal(c.Status().Records, 1)
	c.Prune(r.now, entries(&table.Entry{Unit: testUnit, Owner: "c", Epoch: 3, Sources: []table.MemberID{"b"}}))
	is.Equal(c.Status().Records, 1)
	c.Prune(r.now, entries(&table.Entry{Unit: testUnit, Owner: "c", Epoch: 4}))
	is.Equal(c.Status(), idempotency.CopyStatus{})
}

// TestPages guards against records that are lost between the pages of a fetch
// or the steps of a join.
func TestPages(t *testing.T) {
	is := is.New(t)
	r := servingRig(idempotency.Config{PageBytes: 700})
	for i := range uint64(40) {
		r.pay(i+1, fmt.Sprint("k", i))
		r.finish(i+1, "paid")
	}
	c := idempotency.Member{ID: "c", DataCentre: "south"}
	actions := r.do(r.owner.ApplyAssignment(r.now, idempotency.Assignment{
		Unit: testUnit, Epoch: 3, Copies: []idempotency.Member{testCopy}, Joining: []idempotency.Member{c},
	}))
	is.Equal(describe(actions), "Ready, Synced")
	is.Equal(r.copies["c"].Status().Records, 40)

	small := idempotency.NewCopyStore(idempotency.CopyConfig{Self: "c", Incarnation: 3, PageBytes: 700})
	small.Attach(r.now, r.copies["c"].Detach(r.now, testUnit, 4))
	records, after, last := 0, "", false
	for !last {
		page := small.Fetch(r.now, idempotency.FetchRequest{Unit: testUnit, Epoch: 5, After: after})
		records += len(page.Records)
		after, last = page.Records[len(page.Records)-1].Key, page.Last
	}
	is.Equal(records, 40)
}

// TestEncoding guards against fields that are lost on the wire.
func TestEncoding(t *testing.T) {
	is := is.New(t)
	want := idempotency.WriteRequest{
		Seq: 1, Unit: testUnit, Epoch: 2, From: "a", Incarnation: 3, Transfer: idempotency.TransferID{Epoch: 1, Seq: 4},
		Step: idempotency.TransferLast, LifetimeMs: 5, LostAtMs: 6,
		Records: []idempotency.Record{{
			Key: "k", Digest: [32]byte{1, 2}, State: idempotency.Finished, CreatedAtMs: 7, Epoch: 2, Version: 3,
			Response: &idempotency.Response{Status: 201, Header: map[string][]string{"A": {"b"}}, Body: []byte("c"), BodyOmitted: true},
		}},
	}
	var got idempotency.WriteRequest
	data, err := cbor.Marshal(want)
	is.NoErr(err)
	is.NoErr(cbor.Unmarshal(data, &got))
	is.Equal(got, want)
	got = idempotency.WriteRequest{}
	data, err = json.Marshal(want)
	is.NoErr(err)
	is.NoErr(json.Unmarshal(data, &got))
	is.Equal(got, want)
}
