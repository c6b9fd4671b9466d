package slopes

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/config"
	"bramleyquay.example/coord/control"
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

const (
	// The design size of a cluster, from docs/design.md, section 10.
	designMembers = 3_300
	designSplits  = 93
	dataCentres   = 10
	// shardsPerMember makes 66,000 shards at the design size.
	shardsPerMember = 20
	// serviceMembers is the assumed number of members of one service.
	serviceMembers = 100
)

// cluster is a control state in which registered members own every unit, and a
// snapshot to restore it from.
type cluster struct {
	tb       testing.TB
	state    *control.State
	index    uint64
	members  []control.Member
	snapshot []byte
}

// clusters caches clusters by member and copy count, because building the largest
// takes seconds.
var clusters = map[[2]int]*cluster{}

// newCluster returns a cluster of n members whose units have the given number of
// copies of their idempotency records, in its initial state. Calls with the same
// arguments return the same cluster, which is reset.
func newCluster(tb testing.TB, n, copies int) *cluster {
	tb.Helper()
	key := [2]int{n, copies}
	if c := clusters[key]; c != nil {
		c.reset(tb)
		return c
	}
	c := &cluster{tb: tb, state: control.NewState()}
	c.applyDocument(c.newDocument(n, copies))
	for i := range n {
		c.register(i, n)
	}
	for _, b := range c.state.Barriers() {
		c.apply(control.Command{ClearBarrier: &control.ClearBarrier{Name: b.Keyspace, Revision: b.TableRevision}})
	}
	c.assign(copies)
	if n == designMembers && copies == 0 { // keys with idempotency records are not split
		c.split()
	}
	saved, err := c.state.Snapshot()
	if err != nil {
		tb.Fatal(err)
	}
	c.snapshot = saved
	clusters[key] = c
	return c
}

// reset restores the initial state.
func (c *cluster) reset(tb testing.TB) {
	c.tb = tb
	state, err := control.Restore(c.snapshot)
	if err != nil {
		tb.Fatal(err)
	}
	c.state = state
}

// serviceCount returns the number of services in a cluster of n members.
func serviceCount(n int) int { return max(n/serviceMembers, 1) }

func serviceName(i int) string { return fmt.Sprintf("service-%02d", i) }

func (c *cluster) newDocument(n, copies int) config.Document {
	doc := config.Document{Automation: config.AllAutomation()}
	var names []string
	for i := range dataCentres {
		names = append(names, fmt.Sprintf("dc-%02d", i))
		doc.DataCentres = append(doc.DataCentres, config.DataCentre{Name: names[i]})
	}
	for i := range serviceCount(n) {
		doc.Services = append(doc.Services, config.Service{
			Name: serviceName(i), Keyed: true, Payments: copies > 0, RecordCopies: copies, DataCentres: names,
			ShardCount: uint32(shardsPerMember * n / serviceCount(n)),
		})
	}
	return doc
}

func (c *cluster) apply(cmd control.Command) {
	c.index++
	if r := c.state.Apply(c.index, cmd); !r.Accepted() {
		c.tb.Fatalf("command refused: %+v", r)
	}
}

func (c *cluster) applyDocument(doc config.Document) {
	text, err := json.Marshal(doc)
	if err != nil {
		c.tb.Fatal(err)
	}
	base, _, _ := c.state.Document()
	c.apply(control.Command{ApplyDocument: &control.ApplyDocument{Base: base, ChangeID: fmt.Sprint("doc-", c.index), Author: "ann", Text: text}})
}

func (c *cluster) register(i, n int) {
	m := control.Member{
		ID: table.MemberID(fmt.Sprintf("member-%04d", i)), Incarnation: 1<<50 + uint64(i),
		DataCentre: fmt.Sprintf("dc-%02d", i/serviceCount(n)%dataCentres), PeerAddr: fmt.Sprintf("10.20.%d.%d:7400", i/250, i%250),
		State:  control.MemberActive,
		Target: &control.Target{Service: serviceName(i % serviceCount(n)), Slots: 12, ChecksFences: true, Incarnation: 1<<50 + uint64(i)},
	}
	c.members = append(c.members, m)
	c.apply(control.Command{RegisterMember: &control.RegisterMember{Member: m}})
}

// assign assigns the same number of units to each member of a service, and the copies
// of a unit to members in the data centres that follow the owner's.
func (c *cluster) assign(copies int) {
	n := len(c.members)
	var assignments []control.Assignment
	c.state.Table().Each(func(e *table.Entry) bool {
		var s int
		if _, err := fmt.Sscanf(e.Unit.Keyspace, "service-%d", &s); err != nil {
			c.tb.Fatal(err)
		}
		memberAt := func(k int) table.MemberID { return c.members[(s+k*serviceCount(n))%n].ID }
		a := control.Assignment{Unit: e.Unit, Epoch: e.Epoch, To: memberAt(int(e.Unit.Shard))}
		for k := range copies {
			a.Join = append(a.Join, memberAt(int(e.Unit.Shard)+k+1))
		}
		assignments = append(assignments, a)
		return true
	})
	c.apply(control.Command{Assign: &control.Assign{Assignments: assignments}})
	for _, a := range assignments {
		for _, m := range a.Join {
			c.apply(control.Command{CopySynced: &control.CopySynced{Unit: a.Unit, Epoch: c.state.Table().Entry(a.Unit).Epoch, Copy: m}})
		}
	}
}

// split splits designSplits hot keys out of their shards.
func (c *cluster) split() {
	for i := range designSplits {
		c.apply(control.Command{SplitKey: &control.SplitKey{Keyspace: serviceName(i % serviceCount(designMembers)), Hash: shard.Hash(fmt.Sprint("hot-", i))}})
	}
}

// renewal returns the renewal of member i, which has applied the newest revisions. A
// loaded member reports the request rate of each of its units.
func (c *cluster) renewal(i int, loaded bool) control.Renewal {
	m := c.members[i]
	configRevision, _, _ := c.state.Document()
	r := control.Renewal{
		ID: m.ID, Incarnation: m.Incarnation, Seq: 12_345, DataCentre: m.DataCentre, PeerAddr: m.PeerAddr, Target: m.Target,
		TableRevision: c.state.Table().Revision(), ConfigRevision: configRevision, DirectoryRevision: c.state.DirectoryRevision(),
		Load: control.Load{Running: 9, Limit: 12, Queued: 3, Rate: 9_712.5, ServiceTimeUs: 1_150},
	}
	if loaded {
		for s := range shardsPerMember {
			u := shard.Unit{Keyspace: m.Target.Service, Shard: uint32(i/serviceCount(len(c.members)) + s*serviceMembers)}
			r.UnitLoads = append(r.UnitLoads, control.UnitLoad{Unit: u, Rate: 485.5 + float64(s)})
		}
	}
	return r
}

// leader returns a controller that has received a renewal of every member at time 0.
func (c *cluster) leader() *control.Controller {
	l := control.NewController(control.DefaultConfig(), rand.New(rand.NewPCG(1, 2)))
	l.BecomeLeader(clock.At(0))
	c.renewAll(l, 0)
	return l
}

// renewAll sends the leader a renewal of every member that is not lost.
func (c *cluster) renewAll(l *control.Controller, now time.Duration, lost ...int) {
	for i := range c.members {
		if !slices.Contains(lost, i) {
			l.Renew(clock.At(now), c.state, c.renewal(i, false))
		}
	}
}
