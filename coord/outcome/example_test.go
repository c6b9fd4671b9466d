package outcome_test

import (
	"fmt"

	"bramleyquay.example/coord/outcome"
)

func ExampleOutcome_RetrySafe() {
	payment := outcome.NewUnknown(outcome.ReasonConnectionFailed, "the target did not answer")
	fmt.Println(payment)
	fmt.Println(payment.Outcome.RetrySafe(false), outcome.NotRun.RetrySafe(false))
	// Output:
	// connection (unknown): the target did not answer
	// false true
}
