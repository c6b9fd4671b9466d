package admission_test

import (
	"fmt"
	"time"

	"bramleyquay.example/coord/admission"
	"bramleyquay.example/coord/clock"
)

// A gate passes each event to the limiter and carries out the actions.
func Example() {
	now := clock.At(0)
	l := admission.New(admission.Config{Slots: 12, RampStartSlots: 1, RampDuration: 10 * time.Second, QueueLength: 1}, now)
	carryOut := func(actions []admission.Action) {
		for _, a := range actions {
			if a.Kind == admission.Start {
				fmt.Println("start", a.ID)
			} else {
				fmt.Println("refuse", a.ID, a.Refusal.Reason)
			}
		}
	}
	carryOut(l.Offer(now, admission.Request{ID: 1, Deadline: now.Add(time.Second)}))
	carryOut(l.Offer(now, admission.Request{ID: 2, Deadline: now.Add(time.Second)}))
	carryOut(l.Offer(now, admission.Request{ID: 3, Class: admission.Payment, Deadline: now.Add(time.Second)}))
	now = now.Add(5 * time.Millisecond)
	carryOut(l.Done(now, 1, admission.Sample{ServiceTime: 5 * time.Millisecond}))
	// Output:
	// start 1
	// refuse 2 shed
	// start 3
}
