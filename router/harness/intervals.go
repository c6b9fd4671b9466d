package harness

import (
	"bufio"
	"cmp"
	"fmt"
	"os"
	"slices"
)

// Interval is the time in which a target ran a request for a key. Begin and End
// are in nanoseconds of the wall clock that all processes share.
type Interval struct {
	Key, Target string
	Begin, End  int64
}

// Intervals reads the interval logs of a service's targets. It ignores lines that
// cannot be parsed, because the last line of a killed target may be truncated.
func (c *Cluster) Intervals(service string) ([]Interval, error) {
	var list []Interval
	for _, n := range c.NodesOf(service) {
		f, err := os.Open(n.IntervalLog)
		if os.IsNotExist(err) {
			continue
		}
		if err != nil {
			return nil, err
		}
		lines := bufio.NewScanner(f)
		for lines.Scan() {
			i := Interval{Target: n.ID}
			if _, err := fmt.Sscan(lines.Text(), &i.Key, &i.Begin, &i.End); err == nil {
				list = append(list, i)
			}
		}
		err = lines.Err()
		_ = f.Close() // only read
		if err != nil {
			return nil, err
		}
	}
	return list, nil
}

// Overlap returns two intervals of one key at different targets that overlap, if
// there are any. Such a pair means that the key had two owners at once.
func Overlap(list []Interval) (a, b Interval, found bool) {
	list = slices.Clone(list)
	slices.SortFunc(list, func(x, y Interval) int {
		return cmp.Or(cmp.Compare(x.Key, y.Key), cmp.Compare(x.Begin, y.Begin))
	})
	// latest maps each target to its interval of the current key that ends last,
	// because an earlier interval may end after the ones that follow it.
	latest := map[string]Interval{}
	key := ""
	for _, i := range list {
		if i.Key != key {
			key = i.Key
			clear(latest)
		}
		for target, other := range latest {
			if target != i.Target && other.End > i.Begin {
				return other, i, true
			}
		}
		if i.End > latest[i.Target].End {
			latest[i.Target] = i
		}
	}
	return Interval{}, Interval{}, false
}
