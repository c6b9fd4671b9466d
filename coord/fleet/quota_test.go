package fleet_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/fleet"
	"bramleyquay.example/coord/quota"
	"bramleyquay.example/coord/routes"
)

// quotaProcess is a process that renews with a report on limits.
type quotaProcess struct {
	name   string
	holder *quota.Holder
	known  fleet.Revisions
}

func newQuotaProcess(name string, incarnation uint64) *quotaProcess {
	p := &quotaProcess{name: name, holder: quota.NewHolder(quota.DefaultConfig(), incarnation)}
	p.holder.SetLimits(0, map[string]quota.Limit{"acme": {Rate: 10, Burst: 10}})
	return p
}

// take sends a request of the account, which waits for one renewal.
func (p *quotaProcess) take(sim *simulation) bool {
	p.holder.Request(sim.now, "acme")
	if p.holder.Take(sim.now, "acme") {
		return true
	}
	p.holder.AddWaiting("acme", 1)
	p.renew(sim)
	p.holder.AddWaiting("acme", -1)
	return p.holder.Take(sim.now, "acme")
}

func (p *quotaProcess) renew(sim *simulation) {
	report := p.holder.Report(sim.now)
	reply := sim.leader.Renew(clock.At(sim.now), sim.state, fleet.Renewal{Member: fleet.Member{Process: p.name}, Revisions: p.known, Quota: &report})
	p.known = reply.Revisions
	if reply.Quota != nil {
		p.holder.Apply(sim.now, sim.now, *reply.Quota)
	}
}

// run renews for a time, with ticks of the leader.
func (p *quotaProcess) run(sim *simulation, d time.Duration) {
	for end := sim.now + d; sim.now < end; {
		p.renew(sim)
		sim.run(100 * time.Millisecond)
	}
}

func quotaSimulation(t *testing.T) *simulation {
	sim := newSimulation(t)
	sim.apply(fleet.Command{ApplyDocument: &fleet.ApplyDocument{ChangeID: "accounts", BaseVersion: 1, Document: &routes.Document{
		Version: 2, Accounts: []routes.Account{{Name: "acme", Rate: 10, Burst: 10}},
	}}})
	return sim
}

// Guards against a process that gets allotments before a later leader knows that it may
// hold some, and against one that gets none.
func TestQuotaNeedsRegistration(t *testing.T) {
	is := is.New(t)
	sim := quotaSimulation(t)
	p := newQuotaProcess("a", 7)
	for range 3 {
		is.True(!p.take(sim)) // no tick has proposed the registration
	}
	p.run(sim, time.Second)
	is.Equal(len(sim.state.QuotaRegistered()), 1)
	is.Equal(sim.state.QuotaRegistered()[0].Process, quota.Process{Address: "a", Incarnation: 7})
	is.True(p.take(sim))
	restarted := newQuotaProcess("a", 8)
	restarted.run(sim, time.Second)
	is.Equal(sim.state.QuotaRegistered()[0].Incarnation, uint64(8))
	is.True(restarted.take(sim))
}

// Guards against a new leader that gives out the part of a process that it has not heard
// from, and against a registration that a snapshot loses: it would not know of it.
func TestQuotaAfterLeaderChange(t *testing.T) {
	is := is.New(t)
	sim := quotaSimulation(t)
	a, b := newQuotaProcess("a", 7), newQuotaProcess("b", 8)
	a.run(sim, time.Second)
	b.run(sim, time.Second)
	is.True(a.take(sim) && b.take(sim))
	data, err := sim.state.Snapshot()
	is.NoErr(err)
	sim.state, err = fleet.Restore(data)
	is.NoErr(err)
	is.Equal(len(sim.state.QuotaRegistered()), 2)
	sim.leader.BecomeLeader(clock.At(sim.now), 2)
	a.run(sim, time.Second)
	is.True(sim.leader.QuotaStatus(clock.At(sim.now))[0].Restricted) // b may hold tokens
	a.run(sim, 9*time.Second)
	is.True(!sim.leader.QuotaStatus(clock.At(sim.now))[0].Restricted)
	is.True(a.take(sim))
}

// Guards against registrations of silent processes that remain forever, and against a
// late removal that ends a registration which was made since.
func TestQuotaRemovesSilentProcesses(t *testing.T) {
	is := is.New(t)
	sim := quotaSimulation(t)
	a, b := newQuotaProcess("a", 7), newQuotaProcess("b", 8)
	a.run(sim, time.Second)
	b.run(sim, time.Second)
	silent := sim.state.QuotaRegistered()[0]
	is.Equal(silent.Address, "a")
	b.run(sim, 7*time.Second) // its allotments may be in force
	is.Equal(len(sim.state.QuotaRegistered()), 2)
	b.run(sim, 4*time.Second)
	is.Equal(len(sim.state.QuotaRegistered()), 1)
	a.run(sim, time.Second)
	is.True(a.take(sim))
	sim.apply(fleet.Command{RegisterQuota: &fleet.RegisterQuota{Remove: []quota.Registration{silent}}})
	is.Equal(len(sim.state.QuotaRegistered()), 2)
}

// Guards against messages that grow in deployments without accounts.
func TestNoQuotaWithoutLimits(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t)
	p := newQuotaProcess("a", 7)
	report := p.holder.Report(0)
	reply := sim.leader.Renew(clock.At(0), sim.state, fleet.Renewal{Member: fleet.Member{Process: "a"}, Quota: &report})
	is.True(reply.Quota == nil)
	sim.run(time.Second)
	is.Equal(len(sim.state.QuotaRegistered()), 0)
}

// Guards against a new leader that waits, and lets accounts wait, for processes that
// have stopped in an orderly way.
func TestQuotaOfStoppedProcess(t *testing.T) {
	is := is.New(t)
	sim := quotaSimulation(t)
	a, b := newQuotaProcess("a", 7), newQuotaProcess("b", 8)
	a.run(sim, time.Second)
	b.run(sim, time.Second)
	is.True(a.take(sim) && b.take(sim))
	b.holder.Leave()
	is.True(!b.take(sim))
	b.renew(sim)
	is.True(b.holder.HasLeft())
	a.run(sim, time.Second)
	is.Equal(len(sim.state.QuotaRegistered()), 1)
	sim.leader.BecomeLeader(clock.At(sim.now), 2)
	a.run(sim, time.Second)
	is.True(!sim.leader.QuotaStatus(clock.At(sim.now))[0].Restricted)
	is.True(a.take(sim))
}
