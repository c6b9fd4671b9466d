package soak

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/router/rangetarget"
)

func newRun(id, target string, key uint16, fence uint64, at int64) targetRun {
	return targetRun{Run: rangetarget.Run{ID: id, Key: key, Fence: fence, At: at}, target: target}
}

// Guards against checks of the soak test that miss violations: each guarantee is
// violated once, and the checks must report exactly that violation.
func TestChecksFindViolations(t *testing.T) {
	good := []targetRun{newRun("a", "t1", 5, 1, 10), newRun("b", "t1", 5, 1, 20), newRun("c", "t2", 5, 2, 30)}
	complete := answer{id: "a", unsafe: true, status: 200, body: rangetarget.Body("a"), signature: "t1"}
	is.New(t).Equal(len(checkRuns([]answer{complete}, good)), 0)

	truncated, unsigned, wrongNotRun := complete, complete, complete
	truncated.body = "a"
	unsigned.signature = ""
	wrongNotRun.status, wrongNotRun.notRun = 503, true
	for want, c := range map[string]struct {
		answers []answer
		runs    []targetRun
	}{
		"ran 2 times":               {[]answer{complete}, append(good, newRun("a", "t2", 5, 2, 40))},
		"is not the target's":       {[]answer{truncated}, good},
		"has no target's signature": {[]answer{unsigned}, good},
		"says that it did not":      {[]answer{wrongNotRun}, good},
		"with fence 1 after":        {nil, append(good, newRun("d", "t1", 5, 1, 40))},
		"with fence 2 after":        {nil, append(good, newRun("d", "t1", 5, 2, 40))},
	} {
		violations := checkRuns(c.answers, c.runs)
		if len(violations) != 1 || !strings.Contains(violations[0], want) {
			t.Errorf("%s: found %q", want, violations)
		}
	}
}

// Guards against a check that misses requests aborted by a planned stop, and against
// one that reports them although the process had also been killed.
func TestCheckStops(t *testing.T) {
	is := is.New(t)
	stopTime := time.Now()
	stop := disturbance{node: "m", planned: true, from: stopTime, to: stopTime.Add(4 * time.Second)}
	aborted := answer{id: "a", node: "m", start: stopTime.Add(time.Second), end: stopTime.Add(time.Second), err: io.EOF}
	is.Equal(len(checkStops([]answer{aborted}, []disturbance{stop})), 1)
	late, other, served := aborted, aborted, aborted
	late.start = stopTime.Add(2 * time.Second)
	late.end = late.start
	other.node = "n"
	served.err = nil
	is.Equal(len(checkStops([]answer{late, other, served}, []disturbance{stop})), 0)
	is.Equal(len(checkStops([]answer{aborted}, []disturbance{stop, {node: "m", from: stopTime.Add(-time.Second), to: stopTime}})), 0)
}
