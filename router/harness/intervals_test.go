package harness

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a check that misses two owners of a key, or reports them wrongly:
// it must find overlaps at different targets, also if a shorter request of the same
// target lies between them.
func TestOverlap(t *testing.T) {
	for name, c := range map[string]struct {
		list []Interval
		want bool
	}{
		"same target":       {[]Interval{{"k", "a", 0, 10}, {"k", "a", 5, 15}}, false},
		"one after another": {[]Interval{{"k", "a", 0, 10}, {"k", "b", 10, 15}}, false},
		"two owners":        {[]Interval{{"k", "a", 0, 10}, {"k", "b", 9, 15}}, true},
		"other keys":        {[]Interval{{"k", "a", 0, 10}, {"l", "b", 5, 15}}, false},
		"long request":      {[]Interval{{"k", "a", 0, 50}, {"k", "a", 5, 9}, {"k", "b", 20, 30}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, _, found := Overlap(c.list)
			is.Equal(found, c.want)
		})
	}
}
