package soak

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"time"

	"bramleyquay.example/router/rangetarget"
)

// targetRun is a request that a target began to run.
type targetRun struct {
	rangetarget.Run
	target string
}

// runs reads the run logs of all targets. It ignores lines that cannot be parsed,
// because the last line of a killed target may be truncated.
func (c *cluster) runs() []targetRun {
	var out []targetRun
	for _, m := range c.Members {
		f, err := os.Open(m.RunLog)
		if err != nil {
			c.t.Fatal(err)
		}
		for lines := bufio.NewScanner(f); lines.Scan(); {
			r := targetRun{target: m.Name}
			if json.Unmarshal(lines.Bytes(), &r.Run) == nil {
				out = append(out, r)
			}
		}
		_ = f.Close() // it was only read
	}
	return out
}

// checkRuns returns the violations in answers and runs: served answers that are not
// a target's complete answer, unsafe requests that ran more than once or that ran
// although the answer says that they did not, and those that checkOwners finds.
func checkRuns(answers []answer, runs []targetRun) []string {
	var violations []string
	count := map[string]int{}
	for _, r := range runs {
		count[r.ID]++
	}
	for _, a := range answers {
		if text := a.violation(); text != "" {
			violations = append(violations, text)
		}
		if a.unsafe && count[a.id] > 1 {
			violations = append(violations, fmt.Sprintf("request %s ran %d times", a.id, count[a.id]))
		}
		if a.unsafe && a.notRun && count[a.id] > 0 {
			violations = append(violations, fmt.Sprintf("request %s ran, but its answer says that it did not (status %d)", a.id, a.status))
		}
	}
	return append(violations, checkOwners(runs)...)
}

// checkOwners returns the runs with an older fence than an earlier run for the same
// key, or with the same fence at another target: the key had two owners at once.
func checkOwners(runs []targetRun) []string {
	var violations []string
	runs = slices.Clone(runs)
	slices.SortFunc(runs, func(a, b targetRun) int { return cmp.Compare(a.At, b.At) })
	last := map[uint16]targetRun{}
	for _, r := range runs {
		if r.Fence == 0 {
			continue // the service has no key ranges
		}
		previous := last[r.Key]
		if r.Fence < previous.Fence || r.Fence == previous.Fence && r.target != previous.target {
			violations = append(violations, fmt.Sprintf("key %d: %s ran %s with fence %d after %s had run %s with fence %d",
				r.Key, r.target, r.ID, r.Fence, previous.target, previous.ID, previous.Fence))
		}
		last[r.Key] = r
	}
	return violations
}

const (
	// acceptWindow is the time after SIGTERM in which a process must accept requests.
	// It accepts them for 2.2 s (drainPeriod of package fleetdaemon); the rest is for
	// one request on a busy machine.
	acceptWindow = 1500 * time.Millisecond
	// restartTime is the time after the end of another disturbance in which the
	// process may not listen yet.
	restartTime = 3 * time.Second
)

// checkStops returns the requests that a planned stop has aborted: they began within
// acceptWindow of SIGTERM and ended without an answer before their timeout, while the
// process was not otherwise stopped, killed or frozen. Faults of the proxies do not
// count, because callers do not connect through them.
func checkStops(answers []answer, disturbances []disturbance) []string {
	var violations []string
	for i, s := range disturbances {
		disturbed := slices.ContainsFunc(disturbances, func(other disturbance) bool {
			return other != disturbances[i] && other.node == s.node && other.from.Before(s.from.Add(acceptWindow)) && other.to.Add(restartTime).After(s.from)
		})
		if !s.planned || disturbed {
			continue
		}
		for _, a := range answers {
			inWindow := a.start.After(s.from) && a.start.Before(s.from.Add(acceptWindow))
			if a.node == s.node && inWindow && a.err != nil && a.end.Sub(a.start) < requestTimeout {
				violations = append(violations, fmt.Sprintf("request %s was aborted %s after SIGTERM of %s: %v", a.id, a.end.Sub(s.from), s.node, a.err))
			}
		}
	}
	return violations
}
