package idempotency_test

import (
	"fmt"
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/idempotency"
	"bramleyquay.example/coord/table"
)

// BenchmarkPayment measures one payment from Begin to Reply with copies that reply
// at once, without a network and without encoding.
func BenchmarkPayment(b *testing.B) {
	for copies := range 3 {
		b.Run(fmt.Sprint("copies=", copies), func(b *testing.B) { benchmarkPayment(b, copies) })
	}
}

func benchmarkPayment(b *testing.B, n int) {
	now := clock.At(time.Hour)
	owner := idempotency.NewOwner(idempotency.Config{
		Self: idempotency.Member{ID: "a", DataCentre: "x"}, AllowNoRemoteCopy: n == 0, MaxBytes: 1 << 40,
	})
	stores := map[table.MemberID]*idempotency.CopyStore{}
	var members []idempotency.Member
	for i := range n {
		id := table.MemberID(rune('b' + i))
		stores[id] = idempotency.NewCopyStore(idempotency.CopyConfig{Self: id, Incarnation: 1, MaxBytes: 1 << 40})
		members = append(members, idempotency.Member{ID: id, DataCentre: "y"})
	}
	replies := 0
	answer := func() idempotency.Response {
		return idempotency.Response{
			Status: 201, Header: map[string][]string{"Content-Type": {"application/json"}}, Body: make([]byte, 200),
		}
	}
	var run func([]idempotency.Action)
	run = func(actions []idempotency.Action) {
		for _, action := range actions {
			switch a := action.(type) {
			case idempotency.Write:
				run(owner.Acked(now, stores[a.To].Write(now, a.WriteRequest)))
			case idempotency.Dispatch:
				run(owner.Finished(now, a.ID, answer()))
			case idempotency.Reply:
				replies++
			}
		}
	}
	run(owner.ApplyAssignment(now, idempotency.Assignment{Unit: testUnit, Epoch: 1, NeverSynced: true, Syncing: members}))
	run(owner.ApplyAssignment(now, idempotency.Assignment{Unit: testUnit, Epoch: 2, Copies: members}))
	var before runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	b.ReportAllocs()
	id := uint64(0)
	for b.Loop() {
		id++
		now = now.Add(time.Microsecond)
		run(owner.Begin(now, idempotency.Request{
			ID: id, Unit: testUnit, Key: "payment-" + strconv.FormatUint(id, 10), Deadline: now.Add(time.Second),
		}))
		if id%1000 == 0 {
			run(owner.Tick(now))
		}
	}
	if replies != int(id) {
		b.Fatalf("%d replies to %d payments", replies, id)
	}
	var after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(owner.Status().Units[0].Bytes)/float64(id), "estimated-B/record")
	b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/float64(id), "heap-B/record")
	runtime.KeepAlive(stores)
}

// BenchmarkWriteEncoding measures the encoding of one finished record as it is
// sent to a copy, and its size.
func BenchmarkWriteEncoding(b *testing.B) {
	w := idempotency.WriteRequest{
		Seq: 1 << 20, Unit: testUnit, Epoch: 7, From: "member-17", Incarnation: 1 << 60, LifetimeMs: 86_400_000,
		Records: []idempotency.Record{{
			Key: "payment-1234567890", State: idempotency.Finished, CreatedAtMs: 1_790_000_000_000, Epoch: 7, Version: 2,
			Response: &idempotency.Response{Status: 201, Header: map[string][]string{"Content-Type": {"application/json"}}, Body: make([]byte, 200)},
		}},
	}
	b.ReportAllocs()
	var size int
	for b.Loop() {
		data, err := cbor.Marshal(w)
		if err != nil {
			b.Fatal(err)
		}
		size = len(data)
	}
	b.ReportMetric(float64(size), "wire-B/op")
}
