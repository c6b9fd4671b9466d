package controlnode

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/clock"
)

// Guards against a leader that does not notice a suspension of its machine,
// against a follower that votes too early after a forward step of its wall
// clock, and against ticks that are lost between two calls.
func TestElapsedTicks(t *testing.T) {
	at := clock.At(time.Hour)
	stepped := clock.Reading{Mono: at.Mono + 5*time.Millisecond, Wall: at.Wall + time.Second}
	for name, c := range map[string]struct {
		now   clock.Reading
		leads bool
		want  int
	}{
		"too early":                {at.Add(9 * time.Millisecond), true, 0},
		"leader after a step":      {stepped, true, maxCatchUpTicks},
		"follower after a step":    {stepped, false, 0},
		"follower after a pause":   {at.Add(250 * time.Millisecond), false, 25},
		"wall clock set backwards": {clock.Reading{Mono: at.Mono + 20*time.Millisecond, Wall: 0}, true, 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got, _ := elapsedTicks(at, c.now, c.leads)
			is.Equal(got, c.want)
		})
	}
	is := is.New(t)
	total, last := 0, at
	for i := range 1_000 {
		n, next := elapsedTicks(last, at.Add(time.Duration(i)*time.Millisecond), false)
		total, last = total+n, next
	}
	is.Equal(total, 99) // 999 ms in steps of 1 ms
}
