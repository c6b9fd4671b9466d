package raft

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"testing"
)

// newTestGroup returns a group with an elected leader, n1.
func newTestGroup(voters int) *testGroup {
	g := &testGroup{nodes: map[ID]*Node{}, disks: map[ID]*PersistentState{}}
	ids := make([]ID, voters)
	for i := range ids {
		ids[i] = ID(fmt.Sprintf("n%d", i+1))
	}
	for _, id := range ids {
		g.start(id, Bootstrap(ids))
	}
	for _, id := range ids[1:] {
		g.command("tick", []string{"10", string(id)})
	}
	g.command("campaign", []string{"n1"})
	g.exchange()
	return g
}

// exchange processes all work without a disk or output. It returns the number of
// messages and their size in bytes as JSON.
func (g *testGroup) exchange() (messages, size int) {
	for active := true; active; {
		active = false
		for _, id := range g.ids {
			n := g.nodes[id]
			for n.HasReady() {
				active = true
				rd := n.Ready()
				n.Advance(rd)
				for _, m := range rd.Messages {
					data, _ := json.Marshal(m)
					messages, size = messages+1, size+len(data)
					if err := g.nodes[m.To].Step(m); err != nil {
						panic(err)
					}
				}
			}
		}
	}
	return messages, size
}

// BenchmarkPropose measures one command of 200 bytes from the proposal to the
// commit on the leader, for all replicas together, with JSON encoding and
// without disk and network. The log is compacted every 10,000 entries.
func BenchmarkPropose(b *testing.B) {
	for _, voters := range []int{3, 5} {
		b.Run(fmt.Sprintf("voters=%d", voters), func(b *testing.B) {
			g := newTestGroup(voters)
			leader, data := g.nodes["n1"], bytes.Repeat([]byte("x"), 200)
			messages, size := 0, 0
			for b.Loop() {
				id, err := leader.Propose(data)
				if err != nil {
					b.Fatal(err)
				}
				m, s := g.exchange()
				messages, size = messages+m, size+s
				if leader.log.applied < id.Index {
					b.Fatal("not committed")
				}
				if id.Index%10000 == 0 {
					for _, n := range g.nodes {
						_ = n.Compact(n.log.applied, nil)
					}
				}
			}
			b.ReportMetric(float64(messages)/float64(b.N), "messages/op")
			b.ReportMetric(float64(size)/float64(b.N), "bytes/op")
		})
	}
}

// BenchmarkHeartbeat measures one idle heartbeat round: messages and bytes as
// JSON for the leader and all followers together.
func BenchmarkHeartbeat(b *testing.B) {
	for _, voters := range []int{3, 5} {
		b.Run(fmt.Sprintf("voters=%d", voters), func(b *testing.B) {
			g, messages, size := newTestGroup(voters), 0, 0
			for b.Loop() {
				for _, id := range g.ids {
					g.nodes[id].Tick()
					g.nodes[id].Tick()
				}
				m, s := g.exchange()
				messages, size = messages+m, size+s
			}
			b.ReportMetric(float64(messages)/float64(b.N), "messages/round")
			b.ReportMetric(float64(size)/float64(b.N), "bytes/round")
		})
	}
}

// BenchmarkFailover measures the ticks from the crash of the leader to the
// next QuorumActive leader over different seeds, with delays of up to 0.3
// ticks for a message and 2 ticks for a sync.
func BenchmarkFailover(b *testing.B) {
	for _, voters := range []int{3, 5} {
		b.Run(fmt.Sprintf("voters=%d", voters), func(b *testing.B) {
			var ticks []int
			for seed := uint64(0); b.Loop(); seed++ {
				s := newSim(b, seed, voters)
				for s.run(40); s.leader() == nil; {
					s.run(1)
				}
				s.crash(s.leader())
				waitedTicks := 0
				for l := s.leader(); l == nil || !l.node.Status().QuorumActive; l = s.leader() {
					s.run(1)
					waitedTicks++
				}
				ticks = append(ticks, waitedTicks)
			}
			slices.Sort(ticks)
			b.ReportMetric(float64(ticks[len(ticks)/2]), "ticks-median")
			b.ReportMetric(float64(ticks[len(ticks)*99/100]), "ticks-p99")
			b.ReportMetric(float64(ticks[len(ticks)-1]), "ticks-max")
		})
	}
}
