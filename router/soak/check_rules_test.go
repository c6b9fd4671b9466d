package soak

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/router/rangetarget"
)

func began(id, target string, key uint16, fence uint64, at int64) run {
	return run{Run: rangetarget.Run{ID: id, Key: key, Fence: fence, At: at}, target: target}
}

// Guards against checks of the soak that pass whatever happened: each promise
// is broken once.
func TestChecksFindBrokenPromises(t *testing.T) {
	good := []run{began("a", "t1", 5, 1, 10), began("b", "t1", 5, 1, 20), began("c", "t2", 5, 2, 30)}
	whole := answer{id: "a", unsafe: true, status: 200, body: rangetarget.Body("a"), signed: "t1"}
	is.New(t).Equal(len(checkRuns([]answer{whole}, good)), 0)

	short, unsigned, untrue := whole, whole, whole
	short.body = "a"
	unsigned.signed = ""
	untrue.status, untrue.notRun = 503, true
	for want, c := range map[string]struct {
		seen []answer
		runs []run
	}{
		"ran 2 times":         {[]answer{whole}, append(good, began("a", "t2", 5, 2, 40))},
		"is not the target's": {[]answer{short}, good},
		"is no target's":      {[]answer{unsigned}, good},
		"has run; the caller": {[]answer{untrue}, good},
		"with fence 1 after":  {nil, append(good, began("d", "t1", 5, 1, 40))},
		"with fence 2 after":  {nil, append(good, began("d", "t1", 5, 2, 40))},
	} {
		faults := checkRuns(c.seen, c.runs)
		if len(faults) != 1 || !strings.Contains(faults[0], want) {
			t.Errorf("%s: found %q", want, faults)
		}
	}
}

// Guards against requests that a planned stop cuts unnoticed, and against a
// fault that is blamed on a stop although the process had been killed.
func TestCheckOfPlannedStops(t *testing.T) {
	is := is.New(t)
	at := time.Now()
	stop := span{node: "m", planned: true, from: at, to: at.Add(4 * time.Second)}
	cut := answer{id: "a", node: "m", begun: at.Add(time.Second), ended: at.Add(time.Second), err: io.EOF}
	is.Equal(len(checkStops([]answer{cut}, []span{stop})), 1)
	late, other, served := cut, cut, cut
	late.begun = at.Add(2 * time.Second)
	late.ended = late.begun
	other.node = "n"
	served.err = nil
	is.Equal(len(checkStops([]answer{late, other, served}, []span{stop})), 0)
	is.Equal(len(checkStops([]answer{cut}, []span{stop, {node: "m", from: at.Add(-time.Second), to: at}})), 0)
}
