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

// rig is one State with one Controller and members that always renew.
type rig struct {
	t       testing.TB
	s       *State
	c       *Controller
	now     time.Duration
	index   uint64
	renew   map[table.MemberID]*Renewal
	replies map[table.MemberID]RenewalReply
	change  int
}

func newRig(t testing.TB) *rig {
	r := &rig{t: t, s: NewState(), c: NewController(DefaultConfig(), rand.New(rand.NewPCG(1, 2))), renew: map[table.MemberID]*Renewal{}, replies: map[table.MemberID]RenewalReply{}}
	r.c.BecomeLeader(clock.At(0))
	return r
}

func (r *rig) apply(c Command) Result {
	r.index++
	res := r.s.Apply(r.index, c)
	r.c.OnApplied(clock.At(r.now), r.s, c, res)
	return res
}

func (r *rig) applyAll(cs []Command) {
	for _, c := range cs {
		r.apply(c)
	}
}

func (r *rig) document(doc config.Document) Result {
	text, err := json.Marshal(doc)
	if err != nil {
		r.t.Fatal(err)
	}
	r.change++
	revision, _, _ := r.s.Document()
	return r.apply(Command{ApplyDocument: &ApplyDocument{Base: revision, ChangeID: fmt.Sprint("doc-", r.change), Author: "ann", Text: text}})
}

func (r *rig) join(id, dc, service string) {
	r.renew[table.MemberID(id)] = &Renewal{ID: table.MemberID(id), Incarnation: 1, DataCentre: dc, PeerAddr: "10.0.0.1:1",
		Target: &Target{Service: service, Slots: 12, Incarnation: 1}}
}

// step lets every member renew once, with the releases and copies that the
// table asks for, then ticks.
func (r *rig) step() {
	r.now += 50 * time.Millisecond
	for _, id := range sortedIDs(r.renew) {
		n := r.renew[id]
		n.Seq++
		n.Released, n.Synced = nil, nil
		if last, ok := r.replies[id]; ok && last.Status == RenewalGranted {
			n.TableRevision = last.TableRevision
			if last.Config != nil {
				n.ConfigRevision = last.Config.Revision
			}
			r.s.Table().Each(func(e *table.Entry) bool {
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
		reply, commands := r.c.Renew(clock.At(r.now), r.s, *n)
		r.replies[id] = reply
		r.applyAll(commands)
	}
	r.applyAll(r.c.Tick(clock.At(r.now), r.s))
}

func (r *rig) run(d time.Duration) {
	for end := r.now + d; r.now < end; {
		r.step()
	}
}

func sortedIDs[V any](m map[table.MemberID]V) []table.MemberID { return slices.Sorted(maps.Keys(m)) }

func (r *rig) ownedBy() map[table.MemberID]int {
	out := map[table.MemberID]int{}
	r.s.Table().Each(func(e *table.Entry) bool {
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

// cluster is a rig with four members of clubs and three of pay that has
// settled.
func cluster(t testing.TB) *rig {
	r := newRig(t)
	if res := r.document(testDocument()); !res.Accepted() {
		t.Fatal(res)
	}
	for i, dc := range []string{"a", "b", "c", "a"} {
		r.join(fmt.Sprint("m", i), dc, "clubs")
	}
	for i, dc := range []string{"a", "b", "c"} {
		r.join(fmt.Sprint("p", i), dc, "pay")
	}
	r.run(40 * time.Second)
	return r
}

// unitOf returns a served unit of a member.
func (r *rig) unitOf(id table.MemberID) table.Entry {
	for _, u := range sortedUnits(r.s.held(id).owned) {
		if e := r.s.Table().Entry(u); e.Phase == table.Serving {
			return *e
		}
	}
	r.t.Fatalf("member %s serves nothing", id)
	return table.Entry{}
}

func (r *rig) entry(u shard.Unit) table.Entry { return *r.s.Table().Entry(u) }

func (r *rig) lose(ids ...table.MemberID) Result {
	c := &DeclareMembersLost{}
	for _, id := range ids {
		m, _ := r.s.Member(id)
		c.Members = append(c.Members, MemberIncarnation{id, m.Incarnation})
	}
	return r.apply(Command{DeclareMembersLost: c})
}

// untilLost runs until a member is declared lost.
func (r *rig) untilLost(id table.MemberID) {
	for end := r.now + 2*time.Second; r.now < end; r.step() {
		if m, _ := r.s.Member(id); m.State == MemberLost {
			return
		}
	}
	r.t.Fatalf("member %s was not declared lost within 2 s", id)
}
