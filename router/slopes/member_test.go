package slopes

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"testing"
	"time"

	"bramleyquay.example/coord/control"
	"bramleyquay.example/coord/lease"
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
	"bramleyquay.example/router/gate"
	"bramleyquay.example/router/logging"
	"bramleyquay.example/router/member"
)

// quietLog returns a logger that discards all lines.
func quietLog() logging.Logger {
	return logging.ForComponent(logging.New(io.Discard, "error", false), "slopes")
}

// lookupSlopes measure 1,000 lookups of a key's owner in the table, as ingress does
// for each request.
func lookupSlopes() []slope {
	var list []slope
	for _, n := range clusterSizes {
		list = append(list, slope{name: fmt.Sprintf("lookup-1000/members=%d", n), prepare: func(tb testing.TB) (func(), map[string]float64) {
			t := newCluster(tb, n, 0).state.Table()
			name, i := serviceName(0), uint64(0)
			return func() {
				for range 1_000 {
					i += 0x9e3779b97f4a7c15 // 2^64 divided by the golden ratio spreads the hashes evenly
					if t.Lookup(name, i) == nil {
						tb.Fatal("no owner")
					}
				}
			}, map[string]float64{"entries": float64(t.Len())}
		}})
	}
	return list
}

// staticMembers gives the gate a fixed view of the cluster.
type staticMembers struct{ view *member.View }

func (s staticMembers) View() *member.View { return s.view }
func (s staticMembers) Owned(shard.Unit) (*table.Entry, time.Duration, bool) {
	return nil, 0, false
}
func (s staticMembers) LeaseRemaining() time.Duration { return time.Second }
func (s staticMembers) InContact() bool               { return true }
func (s staticMembers) RenewNow()                     {}

// applySlopes measure how a member processes a delta: decoding it, building the new
// table, and updating the gate.
func applySlopes() []slope {
	var list []slope
	for _, n := range clusterSizes {
		// One unit, and the units of 1, 40 and 330 lost members.
		for _, count := range []int{1, 20, 800, 6_600} {
			if count > shardsPerMember*n {
				continue
			}
			params := fmt.Sprintf("entries=%d/members=%d", count, n)
			list = append(list, slope{name: "delta/" + params, prepare: func(tb testing.TB) (func(), map[string]float64) {
				t := newCluster(tb, n, 0).state.Table()
				data := encode(tb, epochDelta(t, count))
				return func() {
					var d table.Delta
					if err := json.Unmarshal(data, &d); err != nil {
						tb.Fatal(err)
					}
					if _, err := t.Apply(d); err != nil {
						tb.Fatal(err)
					}
				}, map[string]float64{"delta-B": float64(len(data))}
			}})
		}
		list = append(list, slope{name: fmt.Sprintf("gate/members=%d", n), prepare: func(tb testing.TB) (func(), map[string]float64) {
			c := newCluster(tb, n, 0)
			_, doc, _ := c.state.Document()
			view := &member.View{Table: c.state.Table(), Directory: &member.Directory{}, Document: doc, Incarnation: 1}
			g := gate.New(gate.Config{Self: c.members[0].ID, DataCentre: "dc-00"}, staticMembers{view}, nil, quietLog())
			return func() {
				newTable, err := view.Table.Apply(epochDelta(view.Table, 1))
				if err != nil {
					tb.Fatal(err)
				}
				newView := *view
				newView.Table = newTable
				view = &newView
				g.ApplyView(view)
			}, nil
		}})
	}
	return list
}

// scriptedCaller answers a member's renewals with a fixed reply.
type scriptedCaller struct{ reply []byte }

func (s scriptedCaller) Call(_ context.Context, _, _ string, params, result any) error {
	if err := json.Unmarshal(s.reply, result); err != nil {
		return err
	}
	reply, sent := result.(*control.RenewalReply), params.(control.Renewal)
	reply.Seq, reply.Incarnation = sent.Seq, sent.Incarnation
	return nil
}

func (s scriptedCaller) Drop(string) {}

// heap returns the bytes in use by objects that are still reachable.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// memorySlopes measure the heap of a member's view of the cluster, through the agent
// that receives it.
func memorySlopes() []slope {
	var list []slope
	for _, n := range clusterSizes {
		list = append(list, slope{name: fmt.Sprintf("view/members=%d", n), prepare: func(tb testing.TB) (func(), map[string]float64) {
			c := newCluster(tb, n, 0)
			revision, _, text := c.state.Document()
			reply := control.RenewalReply{
				Status: control.RenewalGranted, TableRevision: c.state.Table().Revision(), Table: c.state.TableDelta(0),
				Config: &control.ConfigUpdate{Revision: revision, Document: text}, Directory: c.state.DirectorySince(0),
			}
			caller := scriptedCaller{reply: encode(tb, reply)}
			before := heap()
			ctx, cancel := context.WithCancel(tb.Context())
			a := member.New(member.Config{ID: "x", Control: []member.ControlReplica{{Address: "y"}}, Lease: lease.Default(), RenewTimeout: time.Second},
				caller, quietLog(), func(*member.View) { cancel() })
			a.Run(ctx)
			after := heap()
			sizes := map[string]float64{"heap-B": after - before, "reply-B": float64(len(caller.reply))}
			runtime.KeepAlive(a)
			runtime.KeepAlive(c)
			return nil, sizes
		}})
	}
	return list
}
