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

// targetRun is a request that a target began.
type targetRun struct {
	rangetarget.Run
	target string
}

// runs reads the run logs of all targets. The last line of a killed target may
// be cut off.
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

// checkRuns returns what broke a promise: unsafe requests that ran twice,
// requests that ran though the caller was told that they had not, and keys
// whose owner ran a request after a later owner had.
func checkRuns(seen []answer, runs []targetRun) []string {
	var faults []string
	count := map[string]int{}
	for _, r := range runs {
		count[r.ID]++
	}
	for _, a := range seen {
		if text := a.violation(); text != "" {
			faults = append(faults, text)
		}
		if a.unsafe && count[a.id] > 1 {
			faults = append(faults, fmt.Sprintf("request %s ran %d times", a.id, count[a.id]))
		}
		if a.unsafe && a.notRun && count[a.id] > 0 {
			faults = append(faults, fmt.Sprintf("request %s has run; the caller was told that it has not (status %d)", a.id, a.status))
		}
	}
	return append(faults, checkOwners(runs)...)
}

// checkOwners follows the fences of each key through time.
func checkOwners(runs []targetRun) []string {
	var faults []string
	runs = slices.Clone(runs)
	slices.SortFunc(runs, func(a, b targetRun) int { return cmp.Compare(a.At, b.At) })
	last := map[uint16]targetRun{}
	for _, r := range runs {
		if r.Fence == 0 {
			continue // its service has no keys
		}
		before := last[r.Key]
		if r.Fence < before.Fence || r.Fence == before.Fence && r.target != before.target {
			faults = append(faults, fmt.Sprintf("key %d: %s ran %s with fence %d after %s had run %s with fence %d",
				r.Key, r.target, r.ID, r.Fence, before.target, before.ID, before.Fence))
		}
		last[r.Key] = r
	}
	return faults
}

const (
	// acceptWindow is the time after SIGTERM in which a process takes requests: it
	// promises 2.2 s, less the time of one request on a busy machine.
	acceptWindow = 1500 * time.Millisecond
	// restartTime is the time after another disturbance in which a process may
	// not listen yet.
	restartTime = 3 * time.Second
)

// checkStops returns the requests that a planned stop has cut: they began
// within stopNotice of the signal and ended without an answer, before their
// time was over, and nothing else disturbed the process.
func checkStops(seen []answer, spans []disturbance) []string {
	var faults []string
	for i, s := range spans {
		disturbed := slices.ContainsFunc(spans, func(o disturbance) bool {
			return o != spans[i] && o.node == s.node && o.from.Before(s.from.Add(acceptWindow)) && o.to.Add(restartTime).After(s.from)
		})
		if !s.planned || disturbed {
			continue
		}
		for _, a := range seen {
			inTime := a.start.After(s.from) && a.start.Before(s.from.Add(acceptWindow))
			if a.node == s.node && inTime && a.err != nil && a.end.Sub(a.start) < requestTimeout {
				faults = append(faults, fmt.Sprintf("request %s was cut %s after SIGTERM of %s: %v", a.id, a.end.Sub(s.from), s.node, a.err))
			}
		}
	}
	return faults
}
