package soak

import (
	"strings"
	"testing"

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
