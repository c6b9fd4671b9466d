package dispatch_test

import (
	"testing"

	"github.com/matryer/is"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/dispatch"
)

// Guards against requests that are refused only when it is too late to use the refusal:
// 1.7 times of what the target can do, of which a part is urgent, or most of it, so
// that the urgent part alone is too much.
func TestRefusalsAreEarly(t *testing.T) {
	normal := dispatch.Request{ServiceTimeGroup: "normal", Priority: 1, Objective: 800 * ms, Deadline: 5000 * ms}
	urgent := normal
	urgent.ServiceTimeGroup, urgent.Priority = "urgent", 0
	const capacity = 18 / 0.24 // requests per second
	for _, share := range []float64{0, 0.3, 0.7} {
		flows := []flow{
			{request: normal, perSecond: 1.7 * capacity * (1 - share), service: 240 * ms, retries: 2},
			{request: urgent, perSecond: 1.7 * capacity * share, service: 240 * ms, retries: 2},
		}
		if share == 0 {
			flows = flows[:1]
		}
		served := 0
		for i, e := range playSeeds(t, dispatch.DefaultConfig(18), flows) {
			served += e.served()
			// A refusal of an urgent request costs more than one that comes late.
			if allowed := []int{1, 20}[i]; e.useless > allowed*len(e.waits)/1000 {
				t.Errorf("share %.1f, flow %d: %d of %d refusals came after the latency objective", share, i, e.useless, len(e.waits))
			}
		}
		if served < int(0.97*capacity*300) {
			t.Errorf("share %.1f: served %d", share, served)
		}
	}
}

// Guards against a refusal that reaches the caller after its deadline: the queue expects
// service times so short that it refuses right before the deadline.
func TestRefusalLeavesTimeBack(t *testing.T) {
	is := is.New(t)
	q := dispatch.New(dispatch.DefaultConfig(1))
	q.Offer(clock.At(0), request(1, "a", 0, 0, 500*ms, 500*ms))
	q.Done(clock.At(1*ms), 1, true)
	q.Offer(clock.At(1*ms), request(2, "a", 0, 0, 500*ms, 500*ms))
	waiting := request(3, "a", 0, 0, 500*ms, 500*ms)
	waiting.TimeBack = 50 * ms
	is.Equal(len(q.Offer(clock.At(1*ms), waiting)), 0)
	is.Equal(len(q.Tick(clock.At(440*ms))), 0)
	a := q.Tick(clock.At(450 * ms))
	is.Equal(len(a), 1)
	is.Equal(a[0].Reason, dispatch.ReasonDeadlinePassed)
}
