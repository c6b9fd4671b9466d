package lease_test

import (
	"fmt"
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/lease"
)

// The holder counts the lease from the time it sent the renewal. The tracker counts
// from the time it received it and adds MaxClockDrift, so the holder's lease ends
// first.
func ExampleHolder() {
	cfg := lease.Default()
	holder, tracker := lease.NewHolder(cfg), lease.NewTracker(cfg)
	sent := clock.At(0)
	seq := holder.BeginRenewal(sent)
	tracker.RecordRenewal("a", sent.Add(30*time.Millisecond))
	holder.RecordGrant(seq, sent.Add(60*time.Millisecond))
	end := sent.Add(time.Second)
	fmt.Println(holder.Valid(end), tracker.Expired("a", true, end))
	fmt.Println(tracker.Expired("a", true, sent.Add(1051*time.Millisecond)))
	// Output:
	// false false
	// true
}
