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

// entries returns the lookup function of a table with these entries.
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

// TestPrune guards against a copy that removes records that are still needed, and
// against one that retains records for ever.
func TestPrune(t *testing.T) {
	is := is.New(t)
	f := newServingFixture(idempotency.Config{})
	f.pay(1, "k")
	c := f.copies["b"]
	entry := &table.Entry{Unit: testUnit, Owner: "a", Epoch: 2, Copies: []table.MemberID{"b"}}
	c.Prune(f.now, entries(entry))
	is.Equal(c.Status().Records, 1)
	c.Prune(f.now, entries(&table.Entry{Unit: testUnit, Owner: "a", Epoch: 1})) // an older table
	is.Equal(c.Status().Records, 1)
	c.Prune(f.now, entries(&table.Entry{Unit: testUnit, Owner: "c", Epoch: 3, Sources: []table.MemberID{"b"}}))
	is.Equal(c.Status().Records, 1)
	c.Prune(f.now, entries(&table.Entry{Unit: testUnit, Owner: "c", Epoch: 4}))
	is.Equal(c.Status(), idempotency.CopyStatus{})
}

// TestPages guards against records that are omitted between the pages of a fetch
// or the steps of a transfer.
func TestPages(t *testing.T) {
	is := is.New(t)
	f := newServingFixture(idempotency.Config{PageBytes: 700})
	for i := range uint64(40) {
		f.pay(i+1, fmt.Sprint("k", i))
		f.finish(i+1, "paid")
	}
	c := idempotency.Member{ID: "c", DataCentre: "south"}
	actions := f.do(f.owner.ApplyAssignment(f.now, idempotency.Assignment{
		Unit: testUnit, Epoch: 3, Copies: []idempotency.Member{testCopy}, Syncing: []idempotency.Member{c},
	}))
	is.Equal(describe(actions), "Ready, Synced")
	is.Equal(f.copies["c"].Status().Records, 40)

	small := idempotency.NewCopyStore(idempotency.CopyConfig{Self: "c", Incarnation: 3, PageBytes: 700})
	small.Attach(f.now, f.copies["c"].Detach(f.now, testUnit, 4))
	records, after, last := 0, "", false
	for !last {
		page := small.Fetch(f.now, idempotency.FetchRequest{Unit: testUnit, Epoch: 5, After: after})
		records += len(page.Records)
		after, last = page.Records[len(page.Records)-1].Key, page.Last
	}
	is.Equal(records, 40)
}

// TestEncoding guards against fields that are not encoded or not decoded.
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
