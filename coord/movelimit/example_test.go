package movelimit_test

import (
	"fmt"
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/movelimit"
	"bramleyquay.example/coord/shard"
)

// A receiver at the start of its ramp gets one unit at a time.
func Example() {
	limiter := movelimit.New(movelimit.Default())
	for i := range uint32(3) {
		fmt.Println(limiter.TryStart(clock.At(0), shard.Unit{Keyspace: "clubs", Shard: i}, "m1", 0.2))
	}
	limiter.SetInProgress(nil) // the first move is complete
	fmt.Println(limiter.TryStart(clock.At(time.Second), shard.Unit{Keyspace: "clubs", Shard: 1}, "m1", 0.2))
	// Output:
	// true
	// false
	// false
	// true
}
