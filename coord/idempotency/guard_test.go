package idempotency_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/idempotency"
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

// TestFetchRaisesFence guards against a previous owner that still gets
// acknowledgements after the new owner has read the copy.
func TestFetchRaisesFence(t *testing.T) {
	is := is.New(t)
	r := servingRig(idempotency.Config{})
	is.Equal(describe(r.pay(1, "k")), "dispatch 1")
	r.copies["b"].Fetch(r.now, idempotency.FetchRequest{Unit: testUnit, Epoch: 3, Owner: "c"})
	is.Equal(describe(r.pay(2, "new")), "refuse 2 not-run not-owner, Released")
	is.Equal(describe(r.finish(1, "paid")), "reply 1 paid false")
}

// TestOwnerIsFenced guards against an owner that goes on after another owner
// has read its records.
func TestOwnerIsFenced(t *testing.T) {
	is := is.New(t)
	r := servingRig(idempotency.Config{})
	r.down["b"] = true
	writes := r.owner.Begin(r.now, idempotency.Request{ID: 1, Unit: testUnit, Key: "k"})
	is.Equal(describe(r.do(r.owner.Fence(r.now, testUnit, 2))), "")
	is.Equal(describe(r.do(r.owner.Fence(r.now, testUnit, 3))), "refuse 1 not-run not-owner, Released")
	r.down["b"] = false
	is.Equal(describe(r.do(writes)), "")
}

// TestStaleHeld guards against an owner that continues with records of an
// earlier ownership although another member owned the unit since.
func TestStaleHeld(t *testing.T) {
	is := is.New(t)
	r := servingRig(idempotency.Config{})
	dropped := r.owner.Drop(r.now, testUnit)
	own := idempotency.NewCopy(idempotency.CopyConfig{Self: "a", Incarnation: 1})
	own.Put(r.now, dropped[0].(idempotency.Released).Held)
	is.Equal(describe(r.do(r.owner.Adopt(r.now, idempotency.Assignment{
		Unit: testUnit, Epoch: 9, Sources: []idempotency.Member{{ID: "c"}, testCopy}, Held: own.Take(r.now, testUnit, 9),
	}))), "fetch c")
	// The next source is asked at once, and the owner waits after all failed.
	is.Equal(describe(r.do(r.owner.FetchFailed(r.now, 0))), "")
	fetch := r.advance(100 * time.Millisecond)[0].(idempotency.Fetch)
	is.Equal(fetch.From, table.MemberID("b"))
	is.Equal(describe(r.do(r.owner.Fetched(r.now, r.copies["b"].Fetch(r.now, fetch.FetchRequest)))), "Ready")
}

// TestStaleOwner guards against an owner that was frozen through another
// ownership of its unit and goes on with the records of its own.
func TestStaleOwner(t *testing.T) {
	is := is.New(t)
	r := servingRig(idempotency.Config{})
	r.down["b"] = true
	is.Equal(describe(r.pay(1, "k")), "")
	is.Equal(describe(r.do(r.owner.Adopt(r.now, idempotency.Assignment{
		Unit: testUnit, Epoch: 7, Sources: []idempotency.Member{{ID: "c"}}, Copies: []idempotency.Member{testCopy},
	}))), "refuse 1 not-run not-owner, fetch c")
	is.Equal(describe(r.pay(2, "k")), "") // waits for the records
	is.Equal(describe(r.advance(time.Second)), "refuse 2 not-run owner-recovering, fetch b")
}

// TestCopyRefills guards against dispatch while a copy that the table calls in
// sync has restarted and is being filled: it could not tell a new owner of
// the request.
func TestCopyRefills(t *testing.T) {
	is := is.New(t)
	r := servingRig(idempotency.Config{})
	c := idempotency.Member{ID: "c", DataCentre: "north"} // holds nothing
	var held []idempotency.Action
	r.hold = func(w idempotency.Write) bool {
		last := w.Step == idempotency.JoinLast
		if last {
			held = append(held, w)
		}
		return last
	}
	r.do(r.owner.Adopt(r.now, idempotency.Assignment{
		Unit: testUnit, Epoch: 3, Copies: []idempotency.Member{testCopy, c},
	}))
	is.Equal(describe(r.pay(1, "k")), "")
	r.hold = nil
	is.Equal(describe(r.do(held)), "dispatch 1")
}

// TestRestartedWhileJoining guards against a copy that is reported in sync
// because its former process was: the owner misses the table in between.
func TestRestartedWhileJoining(t *testing.T) {
	is := is.New(t)
	r := servingRig(idempotency.Config{})
	c := []idempotency.Member{{ID: "c", DataCentre: "south"}}
	a := idempotency.Assignment{Unit: testUnit, Epoch: 3, Copies: []idempotency.Member{testCopy}, Joining: c}
	is.Equal(describe(r.do(r.owner.Adopt(r.now, a))), "Ready, Synced")
	r.copies["c"] = idempotency.NewCopy(idempotency.CopyConfig{Self: "c", Incarnation: 33})
	a.Epoch, a.Sources = 5, []idempotency.Member{{ID: "a"}, testCopy}
	r.down["c"] = true
	is.Equal(describe(r.do(r.owner.Adopt(r.now, a))), "Ready")
	is.Equal(describe(r.advance(time.Second)), "")
	r.down["c"] = false
	is.Equal(describe(r.advance(time.Second)), "Synced")
	is.Equal(r.copies["c"].Status().Complete, 1)
}

// TestIncompleteCopy guards against a copy that answers for records that it
// does not have: during a join, after a restart and after a delayed message.
func TestIncompleteCopy(t *testing.T) {
	is := is.New(t)
	now := clock.At(time.Hour)
	join := idempotency.JoinID{Epoch: 4, Seq: 9}
	open := idempotency.WriteRequest{Unit: testUnit, Epoch: 4, Join: join, Step: idempotency.JoinOpen}
	last := open
	last.Step, last.Incarnation = idempotency.JoinLast, 2
	last.Records = []idempotency.Record{{Key: "k", State: idempotency.Started, Epoch: 4, Version: 1}}
	plain := idempotency.WriteRequest{Unit: testUnit, Epoch: 4}
	problem := func(c *idempotency.Copy) idempotency.Problem {
		return c.Fetch(now, idempotency.FetchRequest{Unit: testUnit, Epoch: 4}).Problem
	}

	c := idempotency.NewCopy(idempotency.CopyConfig{Self: "b", Incarnation: 2})
	is.Equal(c.Write(now, plain).Problem, idempotency.ProblemNotHeld)
	is.True(c.Write(now, open).Accepted)
	is.Equal(problem(c), idempotency.ProblemNotHeld)
	is.True(c.Write(now, last).Accepted)
	is.Equal(problem(c), idempotency.Problem(""))
	is.True(c.Write(now, open).Accepted) // duplicate
	is.Equal(c.Status().Records, 1)

	restarted := idempotency.NewCopy(idempotency.CopyConfig{Self: "b", Incarnation: 3})
	is.True(restarted.Write(now, open).Accepted)
	is.Equal(restarted.Write(now, last).Problem, idempotency.ProblemNotHeld)
	is.Equal(problem(restarted), idempotency.ProblemNotHeld)

	older := open
	older.Join.Seq = 8
	is.Equal(c.Write(now, older).Problem, idempotency.ProblemNotHeld)
}

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
	c.Keep(r.now, entries(entry))
	is.Equal(c.Status().Records, 1)
	c.Keep(r.now, entries(&table.Entry{Unit: testUnit, Owner: "a", Epoch: 1})) // an older table
	is.Equal(c.Status().Records, 1)
	c.Keep(r.now, entries(&table.Entry{Unit: testUnit, Owner: "c", Epoch: 3, Sources: []table.MemberID{"b"}}))
	is.Equal(c.Status().Records, 1)
	c.Keep(r.now, entries(&table.Entry{Unit: testUnit, Owner: "c", Epoch: 4}))
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
	actions := r.do(r.owner.Adopt(r.now, idempotency.Assignment{
		Unit: testUnit, Epoch: 3, Copies: []idempotency.Member{testCopy}, Joining: []idempotency.Member{c},
	}))
	is.Equal(describe(actions), "Ready, Synced")
	is.Equal(r.copies["c"].Status().Records, 40)

	small := idempotency.NewCopy(idempotency.CopyConfig{Self: "c", Incarnation: 3, PageBytes: 700})
	small.Put(r.now, r.copies["c"].Take(r.now, testUnit, 4))
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
		Seq: 1, Unit: testUnit, Epoch: 2, From: "a", Incarnation: 3, Join: idempotency.JoinID{Epoch: 1, Seq: 4},
		Step: idempotency.JoinLast, LifetimeMs: 5, LostAtMs: 6,
		Records: []idempotency.Record{{
			Key: "k", Digest: [32]byte{1, 2}, State: idempotency.Finished, CreatedAtMs: 7, Epoch: 2, Version: 3,
			Answer: &idempotency.Answer{Status: 201, Header: map[string][]string{"A": {"b"}}, Body: []byte("c"), BodyOmitted: true},
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
