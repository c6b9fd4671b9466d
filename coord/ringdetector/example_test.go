package ringdetector_test

import (
	"fmt"
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/ringdetector"
	"bramleyquay.example/coord/table"
)

// A member whose successor does not answer notifies the others and checks the
// next member.
func ExampleDetector() {
	now := clock.At(time.Hour)
	d := ringdetector.NewDetector(
		ringdetector.Config{Self: "a", Period: time.Second, Timeout: 2 * time.Second},
		[]table.MemberID{"a", "b", "c"}, now)
	for range 6 {
		now = now.Add(500 * time.Millisecond)
		for _, action := range d.Tick(now) {
			if s, ok := action.(ringdetector.Suspect); ok {
				fmt.Println("suspects", s.Member, "and checks", d.Successor())
			}
		}
	}
	// Output: suspects b and checks c
}
