package fleet_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/fleet"
)

// renew sends one renewal of a process and returns the reply.
func (sim *simulation) renew(r fleet.Renewal) fleet.RenewalReply {
	sim.now += 100 * time.Millisecond
	return sim.leader.Renew(clock.At(sim.now), sim.state, r)
}

// Guards against a target that is used again, although it leaves, after a restart of
// its process: a late announcement may still say that it is ready.
func TestLeavingTargetAfterRestartOfProcess(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t)
	sim.addMember("p")
	r := sim.renewals["p"]
	is.True(!sim.renew(r).TargetLeaving)
	r.Member.Condition = fleet.Draining
	is.True(!sim.renew(r).TargetLeaving) // the process knows it
	delete(sim.renewals, "p")
	sim.run(10 * time.Second) // the member times out
	is.True(!sim.renew(fleet.Renewal{Member: fleet.Member{Process: "p"}}).TargetLeaving)
	r.Member.Condition = fleet.Ready
	is.True(sim.renew(r).TargetLeaving)
	is.Equal(sim.leader.Members()[0].Condition, fleet.Draining)

	r.Member.Incarnation++
	is.True(!sim.renew(r).TargetLeaving)
	is.Equal(sim.leader.Members()[0].Condition, fleet.Ready)
}

// Guards against a restarted process that does not learn the limit that its target
// has named, and against a limit that outlives the incarnation or its withdrawal.
func TestNamedLimitAfterRestartOfProcess(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t)
	sim.addMember("p")
	r := sim.renewals["p"]
	limit := 4.5
	r.Limit = &limit
	is.Equal(sim.renew(r).TargetLimit, 0.0) // the process knows it
	r.Limit = nil
	is.Equal(sim.renew(r).TargetLimit, limit)
	none := 0.0
	r.Limit = &none
	sim.renew(r)
	r.Limit = nil
	is.Equal(sim.renew(r).TargetLimit, 0.0)

	r.Limit = &limit
	sim.renew(r)
	r.Limit = nil
	r.Member.Incarnation++
	is.Equal(sim.renew(r).TargetLimit, 0.0)
}
