package dispatch_test

import (
	"testing"

	"github.com/matryer/is"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/dispatch"
)

// Guards against more running requests of a group than its bound allows, against other
// groups that wait behind it although slots are free, and against requests of the group
// that are queued and cannot end in time.
func TestGroupLimit(t *testing.T) {
	is := is.New(t)
	q := dispatch.New(dispatch.DefaultConfig(4))
	q.SetGroupLimit("a", 1)
	is.Equal(len(q.Offer(clock.At(0), request(1, "a", 0, 0, 250*ms, 250*ms))), 1)
	is.Equal(len(q.Offer(clock.At(0), request(2, "a", 0, 0, 250*ms, 250*ms))), 0)
	is.True(q.Offer(clock.At(0), request(3, "b", 1, 0, 250*ms, 250*ms))[0].Start)
	a := q.Offer(clock.At(0), request(4, "a", 0, 0, 250*ms, 250*ms))
	is.Equal(a[0].Reason, dispatch.ReasonCallsLackRoom)
	a = q.Done(clock.At(50*ms), 1, true)
	is.Equal(len(a), 1)
	is.Equal(a[0].ID, uint64(2))
}
