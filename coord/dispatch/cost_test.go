package dispatch_test

import (
	"fmt"
	"testing"

	"bramleyquay.example/coord/dispatch"
)

// BenchmarkOverload measures a minute of 1.7 times what a target can do, from 196 callers,
// per attempt.
func BenchmarkOverload(b *testing.B) {
	flows := make([]flow, 196)
	for i := range flows {
		flows[i] = flow{perSecond: 1.7 * 18 / 0.24 / 196, service: 240 * ms, retries: 5,
			request: dispatch.Request{ServiceTimeGroup: fmt.Sprint(i % 8), Priority: i % 3, Flow: fmt.Sprint(i), Objective: 800 * ms, Deadline: 5000 * ms}}
	}
	attempts := 0
	for b.Loop() {
		for _, e := range play(dispatch.DefaultConfig(18), flows, 1) {
			attempts += e.attempts
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(attempts), "ns/attempt")
}
