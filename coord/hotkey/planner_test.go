package hotkey_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestBalance guards against an imbalance above the goal of 1.10 two minutes
// after the hottest 93 keys have changed, against oscillation on a noisy
// steady load, and against more moves than the budget allows. If the hottest key
// exceeds the mean, the lowest possible imbalance is that key alone on a member.
func TestBalance(t *testing.T) {
	t.Log("| members | Zipf exponent | hottest key / mean | imbalance before | after settling (worst) | bound | moves per change | moves in 30 min without change |")
	for _, c := range []struct {
		members  int
		exponent float64
	}{{4, 0.9}, {4, 1.1}, {5, 0.9}, {5, 1.1}, {100, 0.7}, {100, 0.99}} {
		is := is.New(t)
		w := newWorkload(c.members, c.exponent)
		bound := 1.10 * max(1, w.rates[0]/w.mean)
		var before, after float64
		const changes = 6
		for range changes {
			w.changeHot()
			before = max(before, w.imbalance())
			used := w.moves
			w.run(2 * time.Minute)
			is.True(w.moves-used <= 3*60) // the budget of 60 a minute for two minutes, and of one unused minute before
			after = max(after, w.imbalance())
			w.run(time.Minute)
		}
		moves := w.moves
		w.run(30 * time.Minute)
		after = max(after, w.imbalance())
		steady := w.moves - moves
		t.Logf("| %d | %.2f | %.2f | %.2f | %.2f | %.2f | %.0f | %d |",
			c.members, c.exponent, w.rates[0]/w.mean, before, after, bound, float64(moves)/changes, steady)
		is.True(after <= bound)
		// Keys of the last change may still be merged, once each.
		is.True(steady <= len(w.hotKeys))
		movesBefore := w.moves
		w.run(30 * time.Minute)
		is.True(w.moves-movesBefore <= 3) // oscillation
	}
}
