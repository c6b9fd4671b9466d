package quarantine_test

import (
	"fmt"
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/quarantine"
	"bramleyquay.example/coord/ranges"
)

// A request that ends three targets, one after the other, is refused.
func Example() {
	registry := quarantine.NewRegistry(quarantine.DefaultConfig())
	f := quarantine.NewFingerprint(nil, "shop", "GET", "stock.example", "/items/7")
	for i, target := range []string{"a", "b", "c"} {
		var d quarantine.Detector
		now := time.Duration(i) * time.Second
		holder := ranges.Holder{Target: target, Incarnation: 1}
		d.RequestBroken(now, quarantine.Crash{Fingerprint: f, Target: holder, Started: now - 100*time.Millisecond, Ended: now})
		for _, c := range d.TargetEnded(now, holder) {
			registry.Record(clock.At(now), quarantine.Report{Fingerprint: c.Fingerprint, Target: c.Target, SinceStarted: now - c.Started, SinceEnded: now - c.Ended})
		}
		for _, e := range registry.Entries(clock.At(now)) {
			fmt.Println(e.Crashes, e.Refused)
		}
	}
	// Output:
	// 2 0s
	// 3 10m0s
}
