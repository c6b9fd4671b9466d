package fleet_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/fleet"
	"bramleyquay.example/coord/quarantine"
	"bramleyquay.example/coord/ranges"
)

// crashed returns a renewal of a process whose target ended while it ran a request.
func (sim *simulation) crashed(process string, f quarantine.Fingerprint, incarnation int64) fleet.Renewal {
	r := sim.renewals[process]
	r.Quarantine = &fleet.QuarantineReport{Crashes: []quarantine.Report{{
		Fingerprint: f, Target: ranges.Holder{Target: "t-" + process, Incarnation: incarnation, Process: process}, SinceStarted: 80 * time.Millisecond,
	}}}
	return r
}

// Guards against a process that does not learn which requests to refuse, or that gets
// the list with each renewal.
func TestQuarantineReachesAllProcesses(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t)
	sim.addMember("a")
	sim.addMember("b")
	known := sim.renew(sim.renewals["b"]).Revisions
	for i := range int64(3) {
		sim.now += time.Second
		sim.renew(sim.crashed("a", 7, 1+i))
	}
	r := sim.renewals["b"]
	r.Revisions = known
	reply := sim.renew(r)
	is.Equal(len(*reply.Quarantine), 1)
	is.True((*reply.Quarantine)[0].Refused > time.Minute)
	r.Revisions = reply.Revisions
	is.True(sim.renew(r).Quarantine == nil)

	r.Quarantine = &fleet.QuarantineReport{Completed: []quarantine.Fingerprint{7}}
	is.Equal(len(*sim.renew(r).Quarantine), 0)
}

// Guards against a new leader that refuses nothing although processes know what the
// earlier one refused.
func TestQuarantineOutlastsLeader(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t)
	sim.addMember("a")
	for i := range int64(3) {
		sim.now += time.Second
		sim.renew(sim.crashed("a", 7, 1+i))
	}
	entries := *sim.renew(sim.renewals["a"]).Quarantine
	sim.leader.BecomeFollower()
	sim.leader.BecomeLeader(clock.At(sim.now), 2)
	r := sim.renewals["a"]
	r.Quarantine = &fleet.QuarantineReport{Known: entries}
	reply := sim.renew(r)
	is.Equal(len(*reply.Quarantine), 1)
	is.True((*reply.Quarantine)[0].Refused > time.Minute)
}

// Guards against an order of an operator that is carried out late, after its copy was
// carried out elsewhere, and lifts a refusal that began since.
func TestLateOrderLiftsNoLaterRefusal(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t)
	sim.addMember("a")
	refuse := func(incarnation int64) {
		for i := range int64(3) {
			sim.now += time.Second
			sim.renew(sim.crashed("a", 7, incarnation+i))
		}
	}
	refuse(1)
	base := sim.leader.AllowBase()
	suspected, current := sim.leader.AllowRequest(clock.At(sim.now), 7, base)
	is.True(suspected && current)
	refuse(11)
	_, current = sim.leader.AllowRequest(clock.At(sim.now), 7, base) // the late copy
	is.True(!current)
	is.True(sim.leader.Quarantine(clock.At(sim.now))[0].Refused > time.Minute)
	base = sim.leader.AllowBase()
	sim.leader.BecomeFollower()
	sim.leader.BecomeLeader(clock.At(sim.now), 2)
	_, current = sim.leader.AllowRequest(clock.At(sim.now), 7, base)
	is.True(!current)
}
