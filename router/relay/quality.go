package relay

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"bramleyquay.example/coord/quality"
	"bramleyquay.example/coord/ranges"
	"bramleyquay.example/router/fleetagent"
	"bramleyquay.example/router/timesource"
)

// targetQuality measures the quality of the gate's target. Each incarnation starts
// with full weight. Its methods may be called concurrently.
type targetQuality struct {
	mu     sync.Mutex
	meter  *quality.Meter
	target ranges.Holder
}

// record counts one request that ended at an incarnation of the target. It returns the
// new weight and the share of bad responses, and true if the weight changed.
func (q *targetQuality) record(target ranges.Holder, o quality.Outcome) (weight int, badShare float64, changed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.meter == nil || q.target != target {
		q.meter, q.target = quality.NewMeter(quality.DefaultConfig()), target
	}
	changed = q.meter.Record(timesource.Now(), o)
	return q.meter.Weight(), q.meter.BadShare(), changed
}

// weight returns the weight of an incarnation of the target in eighths.
func (q *targetQuality) weight(target ranges.Holder) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.meter == nil || q.target != target {
		return quality.Full
	}
	return q.meter.Weight()
}

// published returns the weight of an incarnation of the target for the directory.
func (q *targetQuality) published(target ranges.Holder) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.meter == nil || q.target != target {
		return quality.Full
	}
	return q.meter.Published(timesource.Now())
}

// recordQuality counts the end of a request at the target, and logs a change of the
// weight.
func (g *Gate) recordQuality(t fleetagent.Target, r *result) {
	o, counts := r.quality()
	if !counts {
		return
	}
	countQuality(o.String())
	weight, badShare, changed := g.quality.record(t.Incarnation, o)
	setTargetWeight(weight)
	if !changed {
		return
	}
	g.log.Warn().Str("target", t.ID).Int("eighths", weight).Float64("badShare", badShare).Str("outcome", o.String()).Msg("weight of the target changed")
}

// quality returns what a result says about the quality of the target, or false if it
// says nothing: the caller disconnected or its deadline passed, the target stops or
// does not own the key, or the fault is this process's. A target that cannot be
// connected to is not ready anyway.
func (r *result) quality() (quality.Outcome, bool) {
	switch {
	case r.outcome == done && r.response.Status >= http.StatusInternalServerError:
		return quality.Failed, true
	case r.outcome == done:
		return quality.Good, true
	case r.outcome == notRun && r.reached && !r.notice.leaving && r.reason != misdirected:
		return quality.Rejected, true
	case r.outcome == unknown && (strings.HasPrefix(r.reason, reasonAnswerBroken) && !r.ended || r.reason == reasonNoSignature):
		return quality.Failed, true
	}
	return 0, false
}

// misdirected is the reason of a target that does not own the key of a request.
var misdirected = reasonTargetRefused + " with " + strconv.Itoa(http.StatusMisdirectedRequest)

// usage returns the load and the published weight of the target.
func (g *Gate) usage() fleetagent.Usage {
	u := g.queue.usage()
	u.Weight = g.quality.published(u.Target)
	return u
}

// needsCapacity reports whether the last try without waiting may go to a target of low
// weight: the earlier ones found no free slot, and the request would wait at least a
// capacityWaitDivisor-th of its latency objective.
func (st *requestState) needsCapacity() bool {
	if st.reached > 0 || len(st.exclude) != maxNoWaitTargets-1 || len(st.busyTargets) == 0 {
		return false
	}
	wait := st.busyTargets[st.shortestWait()].wait
	objective := st.request.objective.Sub(st.request.request.Received)
	return wait > min(objective/capacityWaitDivisor, maxCapacityWait)
}

const (
	// capacityWaitDivisor was measured in coord/internal/loadsim: with an eighth, more
	// requests fail near the capacity of all targets; with a thirty-second, half again
	// as many need a second try.
	capacityWaitDivisor = 16
	// maxCapacityWait bounds the wait of requests without a latency objective, whose
	// deadline counts instead.
	maxCapacityWait = 200 * time.Millisecond
)
