package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/dispatch"
)

const bodyBound = 1 << 20

func bodyConfig(slots int) dispatch.Config {
	cfg := dispatch.DefaultConfig(slots)
	cfg.BodyBytes = bodyBound
	return cfg
}

func upload(id uint64, bytes int64, now time.Duration) dispatch.Request {
	r := request(id, "upload", 0, now, 2000*ms, 8000*ms)
	r.BodyBytes = bytes
	return r
}

func started(actions []dispatch.Action) (ids []uint64) {
	for _, a := range actions {
		if a.Start {
			ids = append(ids, a.ID)
		}
	}
	return ids
}

// Guards against a long body that shorter ones overtake forever, against one longer than
// the bound that never starts, against small requests that wait behind bodies, and against
// an expected wait that does not know of the bodies.
func TestBodiesAtTarget(t *testing.T) {
	is := is.New(t)
	q := dispatch.New(bodyConfig(8))
	is.Equal(started(q.Offer(clock.At(0), upload(1, bodyBound/2, 0))), []uint64{1})
	is.Equal(len(q.Offer(clock.At(1*ms), upload(2, 4*bodyBound, 1*ms))), 0) // longer than the bound
	is.Equal(len(q.Offer(clock.At(2*ms), upload(3, bodyBound/4, 2*ms))), 0) // would fit
	is.Equal(len(q.Offer(clock.At(3*ms), upload(4, dispatch.UnknownBodyBytes, 3*ms))), 0)
	is.Equal(started(q.Offer(clock.At(4*ms), upload(5, dispatch.SmallBodyBytes, 4*ms))), []uint64{5})
	eager := upload(6, bodyBound, 5*ms)
	eager.NoWait = true
	refused := q.Offer(clock.At(5*ms), eager)
	is.Equal(refused[0].Reason, dispatch.ReasonNoFreeSlot)
	is.True(refused[0].RetryAfter > 200*ms) // three bodies of 100 ms go first, one after the other
	is.Equal(started(q.Done(clock.At(10*ms), 1, false)), []uint64{2})
	is.Equal(started(q.Done(clock.At(20*ms), 2, false)), []uint64{3})
	is.Equal(started(q.Done(clock.At(30*ms), 3, false)), []uint64{4})
	is.Equal(q.BodyBytes(), int64(bodyBound))
	q.Done(clock.At(40*ms), 4, false)
	is.Equal(q.BodyBytes(), int64(0))
}

// Guards against more bytes at a target than the bound, against bodies of the same kind
// that start out of order, and against requests that wait although nothing runs.
func TestBodiesOfGeneratedSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := dispatch.New(bodyConfig(rapid.IntRange(1, 6).Draw(t, "slots")))
		running, waiting := map[uint64]int64{}, map[uint64]int64{}
		now, last := time.Duration(0), uint64(0)
		apply := func(actions []dispatch.Action) {
			for _, a := range actions {
				if a.Start {
					running[a.ID] = waiting[a.ID]
					for id := range waiting {
						if id < a.ID && waiting[id] > dispatch.SmallBodyBytes && waiting[a.ID] > dispatch.SmallBodyBytes {
							t.Fatalf("body %d started before %d", a.ID, id)
						}
					}
				}
				delete(waiting, a.ID)
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 30).Draw(t, "pause")) * ms
			if len(running) > 0 && rapid.Bool().Draw(t, "end") {
				id := last
				for ; running[id] == 0; id-- {
				}
				delete(running, id)
				apply(q.Done(clock.At(now), id, false))
			} else {
				last++
				waiting[last] = int64(rapid.IntRange(1, 2*bodyBound).Draw(t, "bytes"))
				apply(q.Offer(clock.At(now), upload(last, waiting[last], now)))
			}
			total, counted := int64(0), 0
			for _, n := range running {
				if n > dispatch.SmallBodyBytes {
					total, counted = total+n, counted+1
				}
			}
			if total > bodyBound && counted > 1 {
				t.Fatalf("%d bodies of %d bytes at the target", counted, total)
			}
			if len(running) == 0 && len(waiting) > 0 {
				t.Fatalf("%d requests wait and none runs", len(waiting))
			}
		}
	})
}
