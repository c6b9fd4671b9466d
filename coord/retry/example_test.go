package retry_test

import (
	"fmt"
	"math/rand/v2"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/outcome"
	"bramleyquay.example/coord/retry"
)

// A payment is retried after a not-run outcome, never after an unknown one.
func Example() {
	now := clock.At(0)
	p := retry.New(retry.Config{}, rand.New(rand.NewPCG(1, 2)))
	p.CountRequest()
	refused := outcome.NewNotRun(outcome.ReasonDraining, "the target leaves")
	lost := outcome.NewUnknown(outcome.ReasonUpstreamBroken, "")
	fmt.Println(p.Decide(now, retry.Attempt{Number: 1, Payment: true, Refusal: refused, OtherTargetAvailable: true}).Retry)
	fmt.Println(p.Decide(now, retry.Attempt{Number: 1, Payment: true, Refusal: lost, OtherTargetAvailable: true}).Denied)
	// Output:
	// true
	// unsafe
}
