package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/fleet"
)

func (sim *simulation) depart(process, target string, last int64) {
	sim.apply(fleet.Command{RecordDeparture: &fleet.RecordDeparture{Process: process, Departure: fleet.Departure{Target: target, Last: last}}})
}

// Guards against a target that is used again after a restart of its process and of all
// control replicas, because a late announcement says that it is ready, and against a later
// incarnation that is not used.
func TestRecordedDepartureOutlastsEverything(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t)
	sim.addMember("p")
	r := sim.renewals["p"]
	sim.depart("p", r.Member.Target, r.Member.Incarnation)
	data, err := sim.state.Snapshot()
	is.NoErr(err)
	sim.state, err = fleet.Restore(data)
	is.NoErr(err)
	sim.leader.BecomeFollower()
	sim.leader.BecomeLeader(clock.At(sim.now), 9)
	reply := sim.renew(fleet.Renewal{Member: fleet.Member{Process: "p"}, NeedsDepartures: true})
	is.Equal(reply.Departures, []fleet.Departure{{Target: r.Member.Target, Last: r.Member.Incarnation}})
	r.Member.Condition = fleet.Ready
	is.True(sim.renew(r).TargetLeaving)
	is.Equal(sim.leader.Members()[0].Condition, fleet.Draining)
	r.Member.Incarnation++
	is.True(!sim.renew(r).TargetLeaving)
	is.Equal(sim.leader.Members()[0].Condition, fleet.Ready)
}

// Guards against departures that grow without bound, and against one that is dropped while
// its process is there or was recorded again meanwhile.
func TestDeparturesAreDropped(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t)
	for i := range 12 {
		sim.depart("p", fmt.Sprint("t", i), int64(i))
	}
	sim.depart("p", "t5", 100)
	sim.depart("p", "t5", 50) // late
	list := sim.state.DeparturesOf("p")
	is.Equal(len(list), 8)
	is.Equal(list[7], fleet.Departure{Target: "t5", Last: 100})

	sim.addMember("q")
	sim.depart("q", "x", 1)
	var drop []fleet.Command
	for end := sim.now + 2*time.Hour; sim.now < end && drop == nil; sim.now += 10 * time.Second {
		sim.renew(sim.renewals["q"])
		for _, c := range sim.leader.Tick(clock.At(sim.now), sim.state) {
			if c.ForgetDepartures != nil {
				drop = append(drop, c)
			}
		}
		if sim.now < time.Hour {
			is.Equal(len(drop), 0)
		}
	}
	is.Equal(len(drop), 1)
	is.Equal(drop[0].ForgetDepartures.Processes, []string{"p"})
	sim.depart("p", "t11", 200) // recorded after the command was planned
	sim.apply(drop[0])
	is.Equal(sim.state.DeparturesOf("p"), []fleet.Departure{{Target: "t11", Last: 200}})
	is.Equal(len(sim.state.DeparturesOf("q")), 1)

	for i := range 20_000 {
		sim.depart(fmt.Sprint("r", i), "t", 1)
	}
	is.Equal(len(sim.state.DeparturesOf("r0")), 0)
	is.Equal(len(sim.state.DeparturesOf("r19999")), 1)
}
