package control

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/config"
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

// fixture runs one State and one Controller in virtual time, with members that
// renew in every step. Commands are applied as soon as they are proposed.
type fixture struct {
	t          testing.TB
	state      *State
	controller *Controller
	now        time.Duration
	index      uint64
	renewals   map[table.MemberID]*Renewal
	replies    map[table.MemberID]RenewalReply
	changes    int
}

func newFixture(t testing.TB) *fixture {
	f := &fixture{t: t, state: NewState(), controller: NewController(DefaultConfig(), rand.New(rand.NewPCG(1, 2))), renewals: map[table.MemberID]*Renewal{}, replies: map[table.MemberID]RenewalReply{}}
	f.controller.BecomeLeader(clock.At(0))
	return f
}

func (f *fixture) apply(c Command) Result {
	f.index++
	res := f.state.Apply(f.index, c)
	f.controller.OnApplied(clock.At(f.now), f.state, c, res)
	return res
}

func (f *fixture) applyAll(cs []Command) {
	for _, c := range cs {
		f.apply(c)
	}
}

func (f *fixture) applyDocument(doc config.Document) Result {
	text, err := json.Marshal(doc)
	if err != nil {
		f.t.Fatal(err)
	}
	f.changes++
	revision, _, _ := f.state.Document()
	return f.apply(Command{ApplyDocument: &ApplyDocument{Base: revision, ChangeID: fmt.Sprint("doc-", f.changes), Author: "ann", Text: text}})
}

func (f *fixture) addMember(id, dc, service string) {
	f.renewals[table.MemberID(id)] = &Renewal{ID: table.MemberID(id), Incarnation: 1, DataCentre: dc, PeerAddr: "10.0.0.1:1",
		Target: &Target{Service: service, Slots: 12, Incarnation: 1}}
}

// step advances the time by 50 ms. Every member renews once. If its last renewal was
// granted, it reports all its moving units as released and all syncing copies of its
// units as synced. Then the leader ticks.
func (f *fixture) step() {
	f.now += 50 * time.Millisecond
	for _, id := range sortedIDs(f.renewals) {
		n := f.renewals[id]
		n.Seq++
		n.Released, n.Synced = nil, nil
		if last, ok := f.replies[id]; ok && last.Status == RenewalGranted {
			n.TableRevision = last.TableRevision
			if last.Config != nil {
				n.ConfigRevision = last.Config.Revision
			}
			f.state.Table().Each(func(e *table.Entry) bool {
				if e.Owner == id && e.Phase == table.Moving {
					n.Released = append(n.Released, UnitEpoch{e.Unit, e.Epoch})
				}
				if e.Owner == id && e.Phase == table.Serving {
					for _, j := range e.SyncingCopies {
						n.Synced = append(n.Synced, CopySynced{e.Unit, e.Epoch, j})
					}
				}
				return true
			})
		}
		reply, commands := f.controller.Renew(clock.At(f.now), f.state, *n)
		f.replies[id] = reply
		f.applyAll(commands)
	}
	f.applyAll(f.controller.Tick(clock.At(f.now), f.state))
}

func (f *fixture) run(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.step()
	}
}

func sortedIDs[V any](m map[table.MemberID]V) []table.MemberID { return slices.Sorted(maps.Keys(m)) }

// servedUnits returns the number of units that each member serves.
func (f *fixture) servedUnits() map[table.MemberID]int {
	out := map[table.MemberID]int{}
	f.state.Table().Each(func(e *table.Entry) bool {
		if e.Phase == table.Serving {
			out[e.Owner]++
		}
		return true
	})
	return out
}

func testDocument() config.Document {
	return config.Document{
		DataCentres: []config.DataCentre{{Name: "a"}, {Name: "b"}, {Name: "c"}},
		Services: []config.Service{
			{Name: "clubs", Keyed: true, DataCentres: []string{"a", "b", "c"}, ShardCount: 64, Ramp: config.Ramp{DurationMs: 1000}},
			{Name: "pay", Payments: true, DataCentres: []string{"a", "b", "c"}, ShardCount: 16, Ramp: config.Ramp{DurationMs: 1000}},
		},
		Automation: config.AllAutomation(),
	}
}

// newTestCluster returns a fixture with four members of service clubs and three of
// service pay after 40 s, when all units are assigned and balanced.
func newTestCluster(t testing.TB) *fixture {
	f := newFixture(t)
	if res := f.applyDocument(testDocument()); !res.Accepted() {
		t.Fatal(res)
	}
	for i, dc := range []string{"a", "b", "c", "a"} {
		f.addMember(fmt.Sprint("m", i), dc, "clubs")
	}
	for i, dc := range []string{"a", "b", "c"} {
		f.addMember(fmt.Sprint("p", i), dc, "pay")
	}
	f.run(40 * time.Second)
	return f
}

// servedUnit returns the first unit that a member serves.
func (f *fixture) servedUnit(id table.MemberID) table.Entry {
	for _, u := range sortedUnits(f.state.unitsOf(id).owned) {
		if e := f.state.Table().Entry(u); e.Phase == table.Serving {
			return *e
		}
	}
	f.t.Fatalf("member %s serves nothing", id)
	return table.Entry{}
}

func (f *fixture) entry(u shard.Unit) table.Entry { return *f.state.Table().Entry(u) }

func (f *fixture) declareLost(ids ...table.MemberID) Result {
	c := &DeclareMembersLost{}
	for _, id := range ids {
		m, _ := f.state.Member(id)
		c.Members = append(c.Members, MemberIncarnation{id, m.Incarnation})
	}
	return f.apply(Command{DeclareMembersLost: c})
}

// runUntilLost runs until a member is declared lost, at most 2 s.
func (f *fixture) runUntilLost(id table.MemberID) {
	for end := f.now + 2*time.Second; f.now < end; f.step() {
		if m, _ := f.state.Member(id); m.State == MemberLost {
			return
		}
	}
	f.t.Fatalf("member %s was not declared lost within 2 s", id)
}
