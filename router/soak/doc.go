// Package soak runs a cluster in fleet mode as separate processes, injects random
// overlapping faults and checks the answers that callers got and the requests that
// targets ran. It has only test code:
//
//	go test ./soak -soak.seed 1 -soak.seeds 50
//
// runs 50 seeds, and the seeds that have failed before. A seed determines the faults
// and the requests, but not the timing.
package soak
