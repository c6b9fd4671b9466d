package clock_test

import (
	"fmt"
	"time"

	"bramleyquay.example/coord/clock"
)

// A suspended machine shows the pause on its wall clock only.
func ExampleReading_Since() {
	before := clock.At(time.Hour)
	after := clock.Reading{Mono: before.Mono + time.Second, Wall: before.Wall + time.Minute}
	fmt.Println(after.Since(before), after.MonoSince(before))
	// Output: 1m0s 1s
}
