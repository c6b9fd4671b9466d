package soak

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// A target that has named a limit for limitNotice gets at most limitFactor times
	// that rate, and limitSlack requests, within limitWindow.
	limitNotice = 3 * time.Second
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// checkLimits returns the windows in which a target got more requests than the limit
// that it named allows. A window does not count if the process beside the target was
// stopped or frozen within it or shortly before.
func checkLimits(runs []targetRun, disturbances []disturbance) []string {
	var violations []string
	byTarget := map[string][]targetRun{}
	for _, r := range runs {
		byTarget[r.target] = append(byTarget[r.target], r)
	}
	for target, list := range byTarget {
		slices.SortFunc(list, func(a, b targetRun) int { return cmp.Compare(a.At, b.At) })
		first := 0
		for i, r := range list {
			if i == 0 || r.Limit != list[i-1].Limit {
				first = i
			}
			if r.Limit == 0 || r.At < list[first].At+int64(limitNotice) {
				continue
			}
			n := 0
			for _, other := range list[i:] {
				if other.At >= r.At+int64(limitWindow) || other.Limit != r.Limit {
					break
				}
				n++
			}
			allowed := limitFactor*r.Limit*limitWindow.Seconds() + limitSlack
			if float64(n) > allowed && !disturbedWithin(disturbances, target, time.Unix(0, r.At).Add(-limitWindow), time.Unix(0, r.At).Add(limitWindow)) {
				violations = append(violations, fmt.Sprintf("%s named a limit of %.1f/s and got %d requests in %s", target, r.Limit, n, limitWindow))
				break
			}
		}
	}
	return violations
}

// disturbedWithin reports whether the process of a node was stopped or frozen at some
// moment between two times, or started shortly before.
func disturbedWithin(disturbances []disturbance, node string, from, to time.Time) bool {
	return slices.ContainsFunc(disturbances, func(d disturbance) bool {
		return d.node == node && d.from.Before(to) && d.to.Add(time.Second).After(from)
	})
}

// Guards against a check that misses a limit which is exceeded.
func TestCheckLimits(t *testing.T) {
	is := is.New(t)
	atRate := func(perSecond int) []targetRun {
		var runs []targetRun
		for i := range 8 * perSecond {
			r := newRun(fmt.Sprint(i), "m", 0, 0, int64(i)*int64(time.Second)/int64(perSecond))
			r.Limit = 10
			runs = append(runs, r)
		}
		return runs
	}
	is.Equal(len(checkLimits(atRate(11), nil)), 0)
	is.Equal(len(checkLimits(atRate(20), nil)), 1)
	stopped := disturbance{node: "m", from: time.Unix(4, 0), to: time.Unix(5, 0)}
	is.Equal(len(checkLimits(atRate(20), []disturbance{stopped})), 0)
}
