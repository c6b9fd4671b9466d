// Package soak runs the programs that route by document as separate processes,
// injects faults from outside and checks what callers and targets see. All of
// it is test code:
//
//	go test ./soak -soak.seed 1 -soak.seeds 50
//
// plays 50 seeds. A seed fixes the faults and the requests, not the timing.
package soak
