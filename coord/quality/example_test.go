package quality_test

import (
	"fmt"
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/quality"
)

// A target rejects three requests in a row and is good again.
func Example() {
	m := quality.NewMeter(quality.DefaultConfig())
	for i := range 60 {
		o := quality.Good
		if i < 3 {
			o = quality.Rejected
		}
		if now := time.Duration(i) * 100 * time.Millisecond; m.Record(clock.At(now), o) {
			fmt.Println(now, m.Weight())
		}
	}
	// Output:
	// 100ms 4
	// 200ms 1
	// 1.2s 2
	// 2.2s 4
	// 4.2s 8
}
