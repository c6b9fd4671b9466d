package slopes

import (
	"fmt"
	"runtime"
	"strconv"
	"testing"
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/idempotency"
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

// answerBytes is the assumed size of the answer to a payment.
const answerBytes = 200

func paymentAnswer() idempotency.Response {
	return idempotency.Response{Status: 201, Header: map[string][]string{"Content-Type": {"application/json"}}, Body: make([]byte, answerBytes)}
}

// paymentRunner runs payments on an owner of idempotency records, with copies that
// acknowledge writes immediately.
type paymentRunner struct {
	unit    shard.Unit
	now     clock.Reading
	owner   *idempotency.Owner
	copies  map[table.MemberID]*idempotency.CopyStore
	id      uint64
	written []idempotency.WriteRequest // of the last payment
}

func newPaymentRunner(copies int) *paymentRunner {
	p := &paymentRunner{unit: shard.Unit{Keyspace: serviceName(0), Shard: 17}, now: clock.At(time.Hour), copies: map[table.MemberID]*idempotency.CopyStore{}}
	p.owner = idempotency.NewOwner(idempotency.Config{
		Self: idempotency.Member{ID: "member-0000", DataCentre: "dc-00"}, AllowNoRemoteCopy: copies == 0, MaxBytes: 1 << 40,
	})
	var members []idempotency.Member
	for i := range copies {
		id := table.MemberID(fmt.Sprint("member-000", i+1))
		p.copies[id] = idempotency.NewCopyStore(idempotency.CopyConfig{Self: id, Incarnation: 1 << 50, MaxBytes: 1 << 40})
		members = append(members, idempotency.Member{ID: id, DataCentre: "dc-01"})
	}
	p.execute(p.owner.ApplyAssignment(p.now, idempotency.Assignment{Unit: p.unit, Epoch: 1, NeverSynced: true, Syncing: members}))
	p.execute(p.owner.ApplyAssignment(p.now, idempotency.Assignment{Unit: p.unit, Epoch: 2, Copies: members}))
	return p
}

func (p *paymentRunner) execute(actions []idempotency.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case idempotency.Write:
			p.written = append(p.written, a.WriteRequest)
			p.execute(p.owner.Acked(p.now, p.copies[a.To].Write(p.now, a.WriteRequest)))
		case idempotency.Dispatch:
			p.execute(p.owner.Finished(p.now, a.ID, paymentAnswer()))
		}
	}
}

func (p *paymentRunner) pay() {
	p.id++
	p.now = p.now.Add(time.Microsecond)
	p.written = p.written[:0]
	p.execute(p.owner.Begin(p.now, idempotency.Request{
		ID: p.id, Unit: p.unit, Key: "payment-" + strconv.FormatUint(1_000_000_000+p.id, 10), Deadline: p.now.Add(time.Second),
	}))
}

// recordSlopes measure one payment at the owner and the copies together, without a
// network, and the heap of its idempotency record on all of them.
func recordSlopes() []slope {
	const payments = 5_000
	var list []slope
	for copies := range 3 {
		list = append(list, slope{name: fmt.Sprintf("record/copies=%d", copies), prepare: func(tb testing.TB) (func(), map[string]float64) {
			before := heap()
			p := newPaymentRunner(copies)
			for range payments {
				p.pay()
			}
			sizes := map[string]float64{"heap-B": (heap() - before) / payments}
			if copies > 0 {
				sizes["messages"] = float64(len(p.written))
				for _, w := range p.written {
					sizes["sent-B"] += size(tb, w)
				}
			}
			runtime.KeepAlive(p)
			return p.pay, sizes
		}})
	}
	return list
}
