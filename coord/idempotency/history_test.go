package idempotency_test

import (
	"fmt"

	"bramleyquay.example/coord/idempotency"
	"bramleyquay.example/coord/outcome"
)

// result is the answer that a caller received.
type result struct {
	outcome outcome.Outcome
	reason  outcome.Reason
	answer  string
}

// history is the log of the requests, their answers and the runs at the target.
type history struct {
	requests map[uint64]idempotency.Request
	arrived  map[uint64]bool
	// handledBy has the incarnation of the process that received a request, by
	// request id.
	handledBy map[uint64]uint64
	results   map[uint64][]result
	order     []uint64
	// runs are the ids of the requests that the target ran, in order.
	runs []uint64
	// incarnations has the pairs of member and incarnation that control has seen.
	incarnations map[[2]uint64]bool
}

func (h *history) init() {
	if h.requests == nil {
		h.requests, h.arrived = map[uint64]idempotency.Request{}, map[uint64]bool{}
		h.handledBy = map[uint64]uint64{}
		h.results, h.incarnations = map[uint64][]result{}, map[[2]uint64]bool{}
	}
}

// register records that control has seen the incarnation, and reports whether it
// had before.
func (h *history) register(member int, inc uint64) bool {
	h.init()
	k := [2]uint64{uint64(member), inc}
	seen := h.incarnations[k]
	h.incarnations[k] = true
	return seen
}

func (h *history) issued(r idempotency.Request) {
	h.init()
	h.requests[r.ID] = r
	h.order = append(h.order, r.ID)
}

func (h *history) answered(id uint64, r result) { h.results[id] = append(h.results[id], r) }

// ran records that the target ran a request, and returns the target's response.
func (h *history) ran(id uint64) string {
	h.runs = append(h.runs, id)
	return answerOf(len(h.runs) - 1)
}

func answerOf(run int) string { return fmt.Sprintf("receipt %d", run) }

// check returns the violations in the history.
func (h *history) check() (faults []string) {
	fault := func(format string, args ...any) { faults = append(faults, fmt.Sprintf(format, args...)) }
	byKey := map[string]int{}
	byID := map[uint64]bool{}
	for run, id := range h.runs {
		key := h.requests[id].Key
		if first, ok := byKey[key]; ok {
			fault("payment %s ran twice: requests %d and %d", key, h.runs[first], id)
			continue
		}
		byKey[key], byID[id] = run, true
	}
	for _, id := range h.order {
		req, results := h.requests[id], h.results[id]
		if len(results) > 1 {
			fault("request %d got %d answers", id, len(results))
		}
		for _, r := range results {
			run, ran := byKey[req.Key]
			switch {
			case r.outcome == outcome.NotRun && byID[id]:
				fault("request %d was answered not-run (%s) and ran", id, r.reason)
			case r.outcome == outcome.Done && !ran:
				fault("request %d got an answer and payment %s never ran", id, req.Key)
			case r.outcome == outcome.Done && r.answer != answerOf(run):
				fault("request %d got %q, the first answer was %q", id, r.answer, answerOf(run))
			case r.outcome == outcome.Done && h.requests[h.runs[run]].Digest != req.Digest:
				fault("request %d got the answer to another body", id)
			}
		}
	}
	return faults
}

// count returns the number of results with an outcome.
func (h *history) count(o outcome.Outcome) (n int) {
	for _, results := range h.results {
		for _, r := range results {
			if r.outcome == o {
				n++
			}
		}
	}
	return n
}
