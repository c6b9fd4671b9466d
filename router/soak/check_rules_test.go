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

// Guards against checks of the soak that pass whatever happened: each promise
// is broken once.
func TestChecksFindViolations(t *testing.T) {
	good := []targetRun{newRun("a", "t1", 5, 1, 10), newRun("b", "t1", 5, 1, 20), newRun("c", "t2", 5, 2, 30)}
	whole := answer{id: "a", unsafe: true, status: 200, body: rangetarget.Body("a"), signature: "t1"}
	is.New(t).Equal(len(checkRuns([]answer{whole}, good)), 0)

	short, unsigned, untrue := whole, whole, whole
	short.body = "a"
	unsigned.signature = ""
	untrue.status, untrue.notRun = 503, true
	for want, c := range map[string]struct {
		seen []answer
		runs []targetRun
	}{
		"ran 2 times":         {[]answer{whole}, append(good, newRun("a", "t2", 5, 2, 40))},
		"is not the target's": {[]answer{short}, good},
		"is no target's":      {[]answer{unsigned}, good},
		"has run; the caller": {[]answer{untrue}, good},
		"with fence 1 after":  {nil, append(good, newRun("d", "t1", 5, 1, 40))},
		"with fence 2 after":  {nil, append(good, newRun("d", "t1", 5, 2, 40))},
	} {
		faults := checkRuns(c.seen, c.runs)
		if len(faults) != 1 || !strings.Contains(faults[0], want) {
			t.Errorf("%s: found %q", want, faults)
		}
	}
}

// Guards against requests that a planned stop cuts unnoticed, and against a
// fault that is blamed on a stop although the process had been killed.
func TestCheckStops(t *testing.T) {
	is := is.New(t)
	at := time.Now()
	stop := disturbance{node: "m", planned: true, from: at, to: at.Add(4 * time.Second)}
	cut := answer{id: "a", node: "m", start: at.Add(time.Second), end: at.Add(time.Second), err: io.EOF}
	is.Equal(len(checkStops([]answer{cut}, []disturbance{stop})), 1)
	late, other, served := cut, cut, cut
	late.start = at.Add(2 * time.Second)
	late.end = late.start
	other.node = "n"
	served.err = nil
	is.Equal(len(checkStops([]answer{late, other, served}, []disturbance{stop})), 0)
	is.Equal(len(checkStops([]answer{cut}, []disturbance{stop, {node: "m", from: at.Add(-time.Second), to: at}})), 0)
}
