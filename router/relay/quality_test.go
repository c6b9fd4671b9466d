package relay

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/balancer"
	"bramleyquay.example/coord/dispatch"
	"bramleyquay.example/coord/quality"
	"bramleyquay.example/coord/table"
	"bramleyquay.example/router/fleetagent"
	"bramleyquay.example/router/httpserver"
	"bramleyquay.example/router/leaderclient"
	"bramleyquay.example/router/logging"
)

// TestHopWeight guards against a weight that is lost between gate and ingress, and
// against answers that an earlier version, which reads the first value, or this one
// after an earlier version, cannot decode.
func TestHopWeight(t *testing.T) {
	is := is.New(t)
	values := hopValues(result{outcome: done, reached: true, load: &balancer.GateLoad{Running: 1, Limit: 2, Weight: 4}})
	earlier, ok := decodeResult(http.Header{headerHop: values}.Get(headerHop))
	is.True(ok)
	is.Equal(*earlier.load, balancer.GateLoad{Running: 1, Limit: 2})
	got, ok := decodeHop(append(values, "later=1"))
	is.True(ok)
	is.Equal(got.load.Weight, 4)
	got, ok = decodeHop(values[:1])
	is.True(ok)
	is.Equal(quality.Normalize(got.load.Weight), quality.Full)
	is.Equal(len(hopValues(result{outcome: done, load: &balancer.GateLoad{Weight: quality.Full}})), 1)
}

// TestResultQuality guards against a target that loses weight for what callers, its
// gate's queue or this process have caused.
func TestResultQuality(t *testing.T) {
	rejected := result{outcome: notRun, reached: true, reason: reasonTargetRefused + " with 503"}
	leaving := rejected
	leaving.notice.leaving = true
	broken := result{outcome: unknown, reached: true, reason: reasonAnswerBroken + ": EOF"}
	left := broken
	left.ended = true
	for name, c := range map[string]struct {
		r       result
		outcome quality.Outcome
		counts  bool
	}{
		"answered":       {answered(200), quality.Good, true},
		"not found":      {answered(404), quality.Good, true},
		"failed":         {answered(500), quality.Failed, true},
		"rejected":       {rejected, quality.Rejected, true},
		"leaving":        {leaving, 0, false},
		"misdirected":    {result{outcome: notRun, reached: true, reason: misdirected}, 0, false},
		"queue full":     {refused(dispatch.ReasonQueueFull, 0), 0, false},
		"no connection":  {refused(reasonNoConnection, 0), 0, false},
		"broken":         {broken, quality.Failed, true},
		"caller left":    {left, 0, false},
		"no signature":   {result{outcome: unknown, reached: true, reason: reasonNoSignature}, quality.Failed, true},
		"no memory here": {result{outcome: unknown, reached: true, reason: reasonNoMemory}, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			outcome, counts := c.r.quality()
			is.Equal(counts, c.counts)
			is.Equal(outcome, c.outcome)
		})
	}
}

// TestGateWeight guards against rejections that lower no weight, and against a weight
// that a new incarnation of the target inherits.
func TestGateWeight(t *testing.T) {
	is := is.New(t)
	log := logging.ForComponent(logging.New(io.Discard, "error", false), "gate")
	g := &Gate{queue: newBlockingQueue(1), log: log, agent: fleetagent.New(fleetagent.Config{}, leaderclient.New(nil, nil), log)}
	target := fleetagent.Target{ID: "t"}
	target.Incarnation.Incarnation = 1
	for range 3 {
		g.recordQuality(target, &result{outcome: notRun, reached: true, reason: reasonTargetRefused + " with 503"})
	}
	is.Equal(g.quality.weight(target.Incarnation), 1)
	target.Incarnation.Incarnation = 2
	is.Equal(g.quality.weight(target.Incarnation), quality.Full)
}

// TestNeedsCapacity guards against requests that wait long at busy targets although one
// of low weight has room, and against such a try for requests that have run before.
func TestNeedsCapacity(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	st := &requestState{request: &routedRequest{request: &httpserver.Request{Received: now}, objective: now.Add(time.Second)}, exclude: make([]table.MemberID, 3)}
	st.busyTargets = []busyTarget{{"a", 300 * time.Millisecond}, {"b", 70 * time.Millisecond}}
	is.True(st.needsCapacity())
	st.busyTargets[1].wait = 60 * time.Millisecond
	is.True(!st.needsCapacity())
	st.busyTargets[1].wait, st.reached = 70*time.Millisecond, 1
	is.True(!st.needsCapacity())
}
