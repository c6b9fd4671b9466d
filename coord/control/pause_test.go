package control

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/clock"
)

// Guards against a leader whose disk stalled and that then declares every
// member lost, although their renewals wait in its queues. All record copies
// would go with them. A member that stays silent is still lost one lease later.
func TestPauseOfTheLeader(t *testing.T) {
	is := is.New(t)
	r := cluster(t)
	lost := func() int {
		n := 0
		for _, c := range r.c.Tick(clock.At(r.now), r.s) {
			if c.DeclareMembersLost != nil {
				n += len(c.DeclareMembersLost.Members)
			}
		}
		return n
	}
	is.Equal(lost(), 0)
	r.now += 5 * time.Second
	is.Equal(lost(), 0)
	for range 24 { // 1.2 s in which only one member renews
		r.now += 50 * time.Millisecond
		r.c.Renew(clock.At(r.now), r.s, *r.renew["m0"])
		if n := lost(); n > 0 {
			is.Equal(n, 6) // everyone else, one lease after the pause
			is.True(r.now > 0)
			return
		}
	}
	t.Fatal("silent members were not declared lost")
}
