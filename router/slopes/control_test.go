package slopes

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/control"
	"bramleyquay.example/coord/table"
)

// clusterSizes are the numbers of members of the measured clusters.
var clusterSizes = []int{10, 100, 1_000, designMembers}

func encode(tb testing.TB, v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		tb.Fatal(err)
	}
	return data
}

func size(tb testing.TB, v any) float64 { return float64(len(encode(tb, v))) }

// renewSlopes measure one renewal at the leader, including decoding and encoding.
func renewSlopes() []slope {
	var list []slope
	for _, n := range clusterSizes {
		for _, kind := range []string{"idle", "loaded"} {
			list = append(list, slope{name: fmt.Sprintf("renew/%s/members=%d", kind, n), prepare: func(tb testing.TB) (func(), map[string]float64) {
				c := newCluster(tb, n, 0)
				l := c.leader()
				renewal := encode(tb, c.renewal(n/2, kind == "loaded"))
				var reply []byte
				op := func() {
					var r control.Renewal
					if err := json.Unmarshal(renewal, &r); err != nil {
						tb.Fatal(err)
					}
					answer, _ := l.Renew(clock.At(0), c.state, r)
					reply = encode(tb, answer)
				}
				op()
				return op, map[string]float64{"sent-B": float64(len(renewal)), "reply-B": float64(len(reply))}
			}})
		}
	}
	return list
}

// decideSlope measures the part of a renewal that runs on the one goroutine that
// owns the leader's state.
func decideSlope() []slope {
	return []slope{{name: "decide/loaded/members=3300", prepare: func(tb testing.TB) (func(), map[string]float64) {
		c := newCluster(tb, designMembers, 0)
		l, r := c.leader(), c.renewal(17, true)
		return func() { l.Renew(clock.At(0), c.state, r) }, nil
	}}}
}

// leaderSlopes measure work of the leader: the check of the leases every 20 ms, the scan
// of the table after a change, and the handling of an applied command.
func leaderSlopes() []slope {
	var list []slope
	for _, n := range clusterSizes {
		list = append(list, slope{name: fmt.Sprintf("tick/members=%d", n), prepare: func(tb testing.TB) (func(), map[string]float64) {
			c := newCluster(tb, n, 0)
			l := c.leader()
			return func() { l.Tick(clock.At(0), c.state) }, nil
		}}, slope{name: fmt.Sprintf("scan/members=%d", n), prepare: func(tb testing.TB) (func(), map[string]float64) {
			c := newCluster(tb, n, 0)
			l := c.leader()
			return func() {
				l.BecomeLeader(clock.At(0))
				l.Tick(clock.At(200*time.Millisecond), c.state) // longer than control.Config.ScanInterval (100 ms)
			}, nil
		}}, slope{name: fmt.Sprintf("applied/members=%d", n), prepare: func(tb testing.TB) (func(), map[string]float64) {
			c := newCluster(tb, n, 0)
			l := c.leader()
			cmd := control.Command{FinishMove: &control.FinishMove{}}
			return func() { l.OnApplied(clock.At(0), c.state, cmd, control.Result{}) }, nil
		}})
	}
	return list
}

// lossCase is the loss of several members at once in a cluster of a given size.
type lossCase struct{ lost, members, copies int }

var lossCases = []lossCase{
	{1, 10, 0}, {1, 100, 0}, {1, 1_000, 0}, {1, designMembers, 0},
	{40, 100, 0}, {40, 1_000, 0}, {40, designMembers, 0}, {330, 1_000, 0}, {330, designMembers, 0},
	{1, designMembers, 1}, {40, designMembers, 1}, {330, designMembers, 1},
}

// At renewTime the members that are not lost renew; at detectTime, shortly after, the
// leases of the lost members have expired.
const (
	renewTime  = 1_200 * time.Millisecond
	detectTime = 1_250 * time.Millisecond
)

// prepare returns a cluster and its leader, whose Tick at detectTime finds the loss.
func (l lossCase) prepare(tb testing.TB) (*cluster, *control.Controller) {
	c := newCluster(tb, l.members, l.copies)
	lost := make([]int, l.lost)
	for i := range lost {
		// The lost members are in one data centre if it has enough members. A data
		// centre has every dataCentres-th group of s consecutive members.
		s := serviceCount(l.members)
		lost[i] = i%s + i/s*s*dataCentres
		if l.lost*dataCentres > l.members {
			lost[i] = i
		}
	}
	leader := c.leader()
	c.renewAll(leader, renewTime, lost...)
	return c, leader
}

// command returns the command that declares the members lost.
func (l lossCase) command(tb testing.TB, c *cluster, leader *control.Controller) control.Command {
	for _, cmd := range leader.Tick(clock.At(detectTime), c.state) {
		if cmd.DeclareMembersLost != nil {
			if got := len(cmd.DeclareMembersLost.Members); got != l.lost {
				tb.Fatalf("the leader found %d of %d lost members", got, l.lost)
			}
			return cmd
		}
	}
	tb.Fatal("the leader proposed no DeclareMembersLost command")
	return control.Command{}
}

// lossSlopes measure the planning of a failover at the leader, its application at
// each replica with the sizes of command and delta, and the encoding of the delta for
// one member: the reply to the renewal, and the message that contains it.
func lossSlopes() []slope {
	var list []slope
	for _, l := range lossCases {
		params := fmt.Sprintf("lost=%d/members=%d/copies=%d", l.lost, l.members, l.copies)
		list = append(list, slope{name: "loss-plan/" + params, consumesInput: true, prepare: func(tb testing.TB) (func(), map[string]float64) {
			c, leader := l.prepare(tb)
			return func() { l.command(tb, c, leader) }, nil
		}}, slope{name: "loss-apply/" + params, consumesInput: true, prepare: func(tb testing.TB) (func(), map[string]float64) {
			c, leader := l.prepare(tb)
			from, members := c.state.Table().Revision(), c.state.DirectoryRevision()
			cmd := l.command(tb, c, leader)
			// A command without assignments, from which each replica would compute the
			// same assignments itself.
			compact := control.Command{DeclareMembersLost: &control.DeclareMembersLost{Members: cmd.DeclareMembersLost.Members}}
			sizes := map[string]float64{"command-B": commandSize(tb, cmd), "compact-B": commandSize(tb, compact)}
			return func() {
				c.apply(cmd)
				d := c.state.TableDelta(from)
				sizes["delta-B"], sizes["entries"] = size(tb, d), float64(len(d.Entries))
				sizes["directory-B"] = size(tb, c.state.DirectorySince(members))
			}, sizes
		}}, slope{name: "loss-encode/" + params, prepare: func(tb testing.TB) (func(), map[string]float64) {
			c, leader := l.prepare(tb)
			from := c.state.Table().Revision()
			c.apply(l.command(tb, c, leader))
			reply := control.RenewalReply{Status: control.RenewalGranted, Table: c.state.TableDelta(from)}
			return func() { encode(tb, map[string]json.RawMessage{"result": encode(tb, reply)}) }, nil
		}})
	}
	return list
}

func commandSize(tb testing.TB, cmd control.Command) float64 {
	data, err := control.EncodeCommand(cmd)
	if err != nil {
		tb.Fatal(err)
	}
	return float64(len(data))
}

// documentSlopes measure the application of a changed document at each replica.
func documentSlopes() []slope {
	var list []slope
	for _, n := range []int{100, 1_000, designMembers} {
		list = append(list, slope{name: fmt.Sprintf("document/services=%d", serviceCount(n)), consumesInput: true, prepare: func(tb testing.TB) (func(), map[string]float64) {
			c := newCluster(tb, n, 0)
			doc := c.newDocument(n, 0)
			doc.Services[0].Limits.QueueLength = 100
			return func() { c.applyDocument(doc) }, map[string]float64{"document-B": size(tb, doc)}
		}})
	}
	return list
}

// stateSlopes measure taking and restoring a snapshot of the replicated state, and the
// encoding of the full table and directory for a member that has restarted.
func stateSlopes() []slope {
	var list []slope
	for _, n := range clusterSizes {
		list = append(list, slope{name: fmt.Sprintf("snapshot/members=%d", n), prepare: func(tb testing.TB) (func(), map[string]float64) {
			c := newCluster(tb, n, 0)
			return func() {
				if _, err := c.state.Snapshot(); err != nil {
					tb.Fatal(err)
				}
			}, map[string]float64{"snapshot-B": float64(len(c.snapshot))}
		}}, slope{name: fmt.Sprintf("restore/members=%d", n), prepare: func(tb testing.TB) (func(), map[string]float64) {
			c := newCluster(tb, n, 0)
			return func() { c.reset(tb) }, nil
		}}, slope{name: fmt.Sprintf("full/members=%d", n), prepare: func(tb testing.TB) (func(), map[string]float64) {
			c := newCluster(tb, n, 0)
			full, directory := c.state.TableDelta(0), c.state.DirectorySince(0)
			return func() { encode(tb, full); encode(tb, directory) },
				map[string]float64{"table-B": size(tb, full), "directory-B": size(tb, directory)}
		}})
	}
	return list
}

// epochDelta returns a delta that increments the epochs of the first count units.
func epochDelta(t *table.Table, count int) table.Delta {
	d := table.Delta{FromRevision: t.Revision(), ToRevision: t.Revision() + 1}
	t.Each(func(e *table.Entry) bool {
		n := *e
		n.Epoch++
		d.Entries = append(d.Entries, n)
		return len(d.Entries) < count
	})
	return d
}
