package fleet_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"bramleyquay.example/coord/fleet"
)

// Guards against a notice that is forgotten, and against one that stops a later
// incarnation of its target.
func TestDepartures(t *testing.T) {
	is := is.New(t)
	var d fleet.Departures
	is.True(!d.Includes("t", 10))
	d.Record(fleet.Notice{Target: "t", Arrived: 100})
	is.True(d.Includes("t", 10))
	is.True(d.Includes("t", 100))
	is.True(!d.Includes("t", 101))
	is.True(!d.Includes("u", 10))
	d.Record(fleet.Notice{Target: "u", Incarnation: 7, Arrived: 100, Abandoned: true})
	is.True(d.Includes("u", 7))
	is.True(!d.Includes("u", 8))
	for i := range 8 {
		d.Record(fleet.Notice{Target: fmt.Sprint("other", i), Arrived: 100})
	}
	is.True(!d.Includes("t", 10)) // bounded
	is.True(d.Includes("other0", 10))
	// Nobody waits for the answer: an incarnation that has just started is not meant.
	d.Record(fleet.Notice{Target: "v", Arrived: 100_000, Abandoned: true})
	is.True(d.Includes("v", 70_000))
	is.True(!d.Includes("v", 70_001))
}
