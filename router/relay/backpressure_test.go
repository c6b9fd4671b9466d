package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/dispatch"
)

// Guards against a rejection by a target, or a call that may have run, that counts as a
// refusal for lack of room.
func TestLackOfRoom(t *testing.T) {
	is := is.New(t)
	full := refused(dispatch.ReasonQueueFull, time.Second)
	is.True((&requestState{last: full}).lackedRoom())
	is.True(!(&requestState{last: full, mayHaveRun: true}).lackedRoom())
	is.True(!(&requestState{last: refused(reasonNoTarget, 0)}).lackedRoom())
	is.True(!(&requestState{last: result{outcome: notRun, reached: true, reason: reasonTargetRefused}}).lackedRoom())
}

// Guards against a gate that does not learn from the calls at the ingress of its process.
func TestRunsAreBounded(t *testing.T) {
	is := is.New(t)
	o := newCallObserver()
	run := &routedRequest{id: "r", route: "a", deadline: time.Now().Add(time.Hour)}
	failedCall := &requestState{request: &routedRequest{id: "r.1", route: "b"}, last: refused(dispatch.ReasonNoFreeSlot, 0)}
	failedRun := answered(500)
	limit, wasted := 0, false
	for end := time.Now().Add(time.Second); limit == 0 && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		o.runStarted(1, run)
		o.callStarted(failedCall.request)
		o.callEnded(failedCall)
		limit, wasted = o.runEnded(1, run, &failedRun)
	}
	is.Equal(limit, 1)
	is.True(wasted)
	// Callers' requests for the target's own service are no calls, also with its load.
	is.True(call(&routedRequest{service: "shop", caller: "shop"}).NoCall)
	is.True(!call(&routedRequest{service: "stock", caller: "shop"}).NoCall)
	is.True(call(&routedRequest{service: "stock", caller: "shop", account: "acme"}).NoCall)
}
