package balancer_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/balancer"
	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/table"
)

// Guards against a data centre whose targets are full and refuse tries, one after the
// other, while targets in others are free: with 1.45 times the load that its own
// targets can bear, and 0.8 of all targets in use, few requests may find no slot.
func TestUnevenDataCentres(t *testing.T) {
	is := is.New(t)
	uneven := simulateDataCentres(map[string]float64{"a": 0.35, "b": 1.45, "c": 0.6})
	t.Logf("uneven: %.3f without a slot, %.2f tries for a start, %.2f of the starts in another data centre", uneven.unserved, uneven.tries, uneven.crossed)
	is.True(uneven.unserved < 0.02)
	is.True(uneven.tries < 2)
	even := simulateDataCentres(map[string]float64{"a": 0.6, "b": 0.6, "c": 0.6})
	t.Logf("even: %.3f without a slot, %.2f tries for a start, %.2f of the starts in another data centre", even.unserved, even.tries, even.crossed)
	is.True(even.crossed < 0.05) // as without the change
}

type slotResult struct{ unserved, tries, crossed float64 }

// simulateDataCentres plays 30 s of requests in virtual time. load is the work that
// arrives in each data centre, relative to its targets: 8 of 18 slots, with service
// times of 300 ms on average. 12 processes in each pick targets on their own, and a
// request tries four targets at most.
func simulateDataCentres(load map[string]float64) slotResult {
	const targetsEach, slots, processes, tries, service = 8, 18, 12, 4, 300 * time.Millisecond
	random := rand.New(rand.NewPCG(7, 7))
	var targets []balancer.Target
	dataCentres := slices.Sorted(maps.Keys(load))
	for _, dc := range dataCentres {
		for i := range targetsEach {
			targets = append(targets, balancer.Target{ID: table.MemberID(fmt.Sprintf("%s%d", dc, i)), DataCentre: dc, Slots: slots})
		}
	}
	running := map[table.MemberID]int{}
	var queue eventQueue
	var started, tried, unserved, crossed, offered float64
	for _, dc := range dataCentres {
		interval := time.Duration(float64(service) / (load[dc] * targetsEach * slots))
		var selectors []*balancer.Balancer
		for range processes {
			b := balancer.New(balancer.Config{DataCentre: dc}, rand.New(rand.NewPCG(random.Uint64(), 1)))
			b.SetTargets(clock.At(0), targets)
			selectors = append(selectors, b)
		}
		var arrive func(now time.Duration)
		arrive = func(now time.Duration) {
			queue.add(now+time.Duration(random.ExpFloat64()*float64(interval)), arrive)
			b := selectors[random.IntN(processes)]
			offered++
			var exclude []table.MemberID
			for range tries {
				id := b.Order(clock.At(now), exclude...)[0]
				exclude = append(exclude, id)
				tried++
				b.Started(clock.At(now), id)
				if running[id] >= slots {
					b.Finished(clock.At(now), id, balancer.Result{Kind: balancer.Refused, NoWait: true})
					continue
				}
				running[id]++
				started++
				if id[:1] != table.MemberID(dc) {
					crossed++
				}
				took := time.Duration(random.ExpFloat64() * float64(service))
				queue.add(now+took, func(end time.Duration) {
					running[id]--
					b.Finished(clock.At(end), id, balancer.Result{Latency: took, NoWait: true})
				})
				return
			}
			unserved++
		}
		queue.add(0, arrive)
	}
	for len(queue) > 0 && queue[0].at < 30*time.Second {
		e := heap.Pop(&queue).(event)
		e.run(e.at)
	}
	return slotResult{unserved: unserved / offered, tries: tried / started, crossed: crossed / started}
}

type event struct {
	at  time.Duration
	run func(now time.Duration)
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
func (q *eventQueue) add(at time.Duration, run func(time.Duration)) { heap.Push(q, event{at, run}) }

// Guards against tries that find no free slot and take longer than the wait that they
// are to save, as on links that bodies fill.
func TestWorthTrying(t *testing.T) {
	is := is.New(t)
	b := balancer.New(balancer.Config{DataCentre: "a"}, rand.New(rand.NewPCG(1, 1)))
	b.SetTargets(clock.At(0), []balancer.Target{{ID: "near", DataCentre: "a", Slots: 4}, {ID: "far", DataCentre: "b", Slots: 4}})
	now := clock.At(time.Second)
	is.True(b.WorthTrying(now, 50*time.Millisecond)) // nothing is known
	try := func(kind balancer.ResultKind, took time.Duration) {
		for range 50 {
			for _, id := range []table.MemberID{"near", "far"} {
				b.Started(now, id)
				b.Finished(now, id, balancer.Result{Kind: kind, Latency: took, NoWait: true})
			}
		}
	}
	try(balancer.Refused, 40*time.Millisecond)
	is.True(!b.WorthTrying(now, 50*time.Millisecond))
	is.True(!b.WorthTrying(now, 10*time.Second)) // no slot is found
	now = clock.At(8 * time.Second)              // the tries are forgotten
	is.True(b.WorthTrying(now, 50*time.Millisecond))
	is.True(!b.WorthTrying(now, 30*time.Millisecond)) // shorter than a round trip
	try(balancer.OK, 40*time.Millisecond)
	is.True(b.WorthTrying(now, 50*time.Millisecond))
}
