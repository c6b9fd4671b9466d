package control

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/clock"
)

// Guards against a leader that declares every member lost after a stall of its disk,
// although their renewals are queued; all record copies would be lost too. Members
// that do not renew must still be declared lost one lease after the stall.
func TestNoLossesAfterLeaderStall(t *testing.T) {
	is := is.New(t)
	f := newTestCluster(t)
	lost := func() int {
		n := 0
		for _, c := range f.controller.Tick(clock.At(f.now), f.state) {
			if c.DeclareMembersLost != nil {
				n += len(c.DeclareMembersLost.Members)
			}
		}
		return n
	}
	is.Equal(lost(), 0)
	f.now += 5 * time.Second
	is.Equal(lost(), 0)
	for range 24 { // 1.2 s during which only one member renews
		f.now += 50 * time.Millisecond
		f.controller.Renew(clock.At(f.now), f.state, *f.renewals["m0"])
		if n := lost(); n > 0 {
			is.Equal(n, 6) // all other members, one lease after the stall
			is.True(f.now > 0)
			return
		}
	}
	t.Fatal("members that do not renew were not declared lost")
}
