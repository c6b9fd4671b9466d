package clock_test

import (
	"fmt"
	"time"

	"bramleyquay.example/coord/clock"
)

// If a machine is suspended, only its wall clock may show the pause.
func ExampleReading_Since() {
	before := clock.At(time.Hour)
	after := clock.Reading{Mono: before.Mono + time.Second, Wall: before.Wall + time.Minute}
	fmt.Println(after.Since(before), after.MonoSince(before))
	// Output: 1m0s 1s
}
