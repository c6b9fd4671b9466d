package dispatch_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/dispatch"
)

// limitRun plays requests at a target that names a limit in the answers that it
// writes while the limit is in force.
type limitRun struct {
	rate          float64       // of the limit, requests per second
	offered       float64       // arrivals per second
	serviceTime   time.Duration // mean
	from, to      time.Duration // the limit is in force
	end           time.Duration
	starts        []time.Duration
	refusedLate   int // refusals more than 100 ms after the arrival
	refused, done int
}

func (l *limitRun) play(seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 2))
	q := dispatch.New(dispatch.DefaultConfig(6))
	ends := map[uint64]time.Duration{}
	arrivals := map[uint64]time.Duration{}
	carryOut := func(now time.Duration, actions []dispatch.Action) {
		for _, a := range actions {
			if a.Start {
				l.starts = append(l.starts, now)
				ends[a.ID] = now + time.Duration(rng.ExpFloat64()*float64(l.serviceTime))
				continue
			}
			l.refused++
			if now-arrivals[a.ID] > 100*ms {
				l.refusedLate++
			}
		}
	}
	id, next := uint64(0), time.Duration(0)
	for now := time.Duration(0); now < l.end; now += ms {
		for running, end := range ends {
			if end > now {
				continue
			}
			delete(ends, running)
			limit := dispatch.Limit{Known: true}
			if now >= l.from && now < l.to {
				limit.Rate = l.rate
			}
			q.RecordLimit(clock.At(now), running, limit)
			carryOut(now, q.Done(clock.At(now), running, true))
			l.done++
		}
		for ; next <= now; next += time.Duration(rng.ExpFloat64() * float64(time.Second) / l.offered) {
			id++
			arrivals[id] = now
			carryOut(now, q.Offer(clock.At(now), request(id, "a", 0, now, 600*ms, 1200*ms)))
		}
		carryOut(now, q.Tick(clock.At(now)))
	}
}

func (l *limitRun) most(from, to, window time.Duration) int {
	most := 0
	for i, first := range l.starts {
		n := 0
		for _, t := range l.starts[i:] {
			if first >= from && t <= to && t < first+window {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// Guards against more starts than a target's limit, against starts below it while
// requests wait, and against refusals that could have come at once.
func TestStartsKeepToNamedLimit(t *testing.T) {
	for _, rate := range []float64{0.5, 4.4, 11.3, 60} {
		is := is.New(t)
		l := limitRun{rate: rate, offered: 80, serviceTime: 50 * ms, from: 5 * time.Second, to: 30 * time.Second, end: 40 * time.Second}
		l.play(uint64(10 * rate))
		for _, window := range []time.Duration{time.Second, 4 * time.Second} {
			allowed := rate * (window + 500*ms).Seconds()
			is.True(float64(l.most(7*time.Second, 30*time.Second, window)) <= allowed+1)
		}
		started := 0
		for _, at := range l.starts {
			if at >= 7*time.Second && at < 30*time.Second {
				started++
			}
		}
		is.True(float64(started) >= 0.9*rate*23-1)
		is.True(l.most(32*time.Second, 40*time.Second, time.Second) > 60) // no limit any more
		is.True(l.refusedLate <= l.refused/100)
	}
}

// Guards against a limit that is lifted by an answer which the target wrote before it
// named the limit.
func TestLateAnswerDoesNotLiftLimit(t *testing.T) {
	is := is.New(t)
	q := dispatch.New(dispatch.DefaultConfig(6))
	q.Offer(clock.At(0), request(1, "a", 0, 0, 600*ms, 1200*ms))
	q.Offer(clock.At(0), request(2, "a", 0, 0, 600*ms, 1200*ms))
	q.RecordLimit(clock.At(50*ms), 1, dispatch.Limit{Known: true, Rate: 2})
	q.Done(clock.At(50*ms), 1, true)
	q.RecordLimit(clock.At(60*ms), 2, dispatch.Limit{Known: true})
	is.Equal(q.Limit().Rate, 2.0)
	q.Done(clock.At(60*ms), 2, true)

	q.Offer(clock.At(1000*ms), request(3, "a", 0, 1000*ms, 600*ms, 1200*ms))
	q.RecordLimit(clock.At(1050*ms), 3, dispatch.Limit{}) // broke off: it says nothing
	is.Equal(q.Limit().Rate, 2.0)
	q.RecordLimit(clock.At(1060*ms), 3, dispatch.Limit{Known: true})
	is.Equal(q.Limit().Rate, 0.0)
}

// Guards against key ranges that stay at a target which its limit keeps from serving
// them: moves follow the utilization and the capacity.
func TestLimitCountsAsCapacity(t *testing.T) {
	is := is.New(t)
	q := dispatch.New(dispatch.DefaultConfig(6))
	now := time.Duration(0)
	for id := range uint64(100) {
		now += 100 * ms
		q.Offer(clock.At(now), request(id, "a", 0, now, 600*ms, 1200*ms))
		q.RecordLimit(clock.At(now+50*ms), id, dispatch.Limit{Known: true, Rate: 5})
		q.Done(clock.At(now+50*ms), id, true)
	}
	utilization, capacity := q.Utilization(clock.At(now))
	is.Equal(capacity, 5.0)
	is.True(utilization > 0.9)
	_, _, slots := q.Load()
	is.Equal(slots, 1)
}

// Guards against a restarted process that exceeds the limit that its target named to
// the process before, until the target's first answer, and against one that keeps to
// it beyond.
func TestAssumedLimit(t *testing.T) {
	is := is.New(t)
	q := dispatch.New(dispatch.DefaultConfig(6))
	q.AssumeLimit(clock.At(0), 2)
	for id := range uint64(3) {
		q.Offer(clock.At(0), request(id, "a", 0, 0, 2000*ms, 4000*ms))
	}
	running, waiting, _ := q.Load()
	is.Equal([]int{running, waiting}, []int{1, 2})
	q.RecordLimit(clock.At(50*ms), 0, dispatch.Limit{Known: true})
	is.Equal(len(q.Done(clock.At(50*ms), 0, true)), 2)
	q.AssumeLimit(clock.At(60*ms), 2)
	is.Equal(q.Limit(), dispatch.Limit{Known: true})
}
