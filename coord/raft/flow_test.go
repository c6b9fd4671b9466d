package raft

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// testGroup runs replicas under the control of commands: time passes and messages are
// delivered only by a command.
type testGroup struct {
	ids   []ID
	nodes map[ID]*Node
	disks map[ID]*PersistentState
	queue []Message // sent and not delivered
	out   strings.Builder
}

// TestFlows guards against changes in the main protocol flows: which message
// follows which, and when requests are refused. The flows are in testdata/flows.
func TestFlows(t *testing.T) {
	datadriven.Walk(t, "testdata/flows", func(t *testing.T, path string) {
		g := &testGroup{nodes: map[ID]*Node{}, disks: map[ID]*PersistentState{}}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			g.out.Reset()
			for line := range strings.Lines(d.Cmd + " " + argText(d) + "\n" + d.Input) {
				if words := strings.Fields(line); len(words) > 0 {
					g.command(words[0], words[1:])
				}
			}
			return g.out.String()
		})
	})
}

func argText(d *datadriven.TestData) string {
	var words []string
	for _, a := range d.CmdArgs {
		words = append(words, a.String())
	}
	return strings.Join(words, " ")
}

func (g *testGroup) command(name string, args []string) {
	ids := make([]ID, len(args))
	for i, a := range args {
		ids[i] = ID(a)
	}
	var err error
	switch name {
	case "new":
		for _, id := range ids {
			g.start(id, Bootstrap(ids))
		}
	case "join":
		g.start(ids[0], PersistentState{})
	case "restart":
		g.start(ids[0], *g.disks[ids[0]])
	case "tick": // tick COUNT ID...
		count, _ := strconv.Atoi(args[0])
		for range count {
			for _, id := range ids[1:] {
				g.nodes[id].Tick()
			}
		}
	case "campaign": // ticks until the election timeout has passed
		for n := g.nodes[ids[0]]; n.role == Follower; {
			n.Tick()
		}
	case "deliver": // deliver everything, except to and from some
		g.deliver(-1, ids)
	case "first": // first COUNT ID...: deliver COUNT messages, except to and from some, and lose the rest
		count, _ := strconv.Atoi(args[0])
		g.deliver(count, ids[1:])
		g.queue = nil
	case "propose":
		for _, a := range args[1:] {
			_, proposeErr := g.nodes[ids[0]].Propose([]byte(a))
			err = proposeErr
		}
	case "change": // change LEADER KIND ID
		kind := ChangeKind(slices.Index([]string{"", "add", "promote", "remove"}, args[1]))
		_, err = g.nodes[ids[0]].ProposeMembership(MembershipChange{Kind: kind, ID: ids[2]})
	case "transfer":
		err = g.nodes[ids[0]].TransferLeadership(ids[1])
	case "read":
		err = g.nodes[ids[0]].ReadIndex(7)
	case "compact":
		err = g.nodes[ids[0]].Compact(g.nodes[ids[0]].log.applied, []byte("state"))
	case "send": // send FROM TO TERM: a vote request of a leadership transfer
		term, _ := strconv.ParseUint(args[2], 10, 64)
		g.queue = append(g.queue, Message{Kind: MsgVote, From: ids[0], To: ids[1], Term: term, Index: 1, LogTerm: 1, Force: true})
	case "status":
		for _, id := range g.ids {
			g.status(id)
		}
	default:
		err = fmt.Errorf("unknown command %s", name)
	}
	if err != nil {
		fmt.Fprintln(&g.out, err)
	}
}

func (g *testGroup) start(id ID, disk PersistentState) {
	node, err := New(Config{ID: id, ElectionTicks: 10, HeartbeatTicks: 2, MaxBatchBytes: 4, Rand: rand.New(rand.NewPCG(1, 1))}, disk)
	if err != nil {
		fmt.Fprintln(&g.out, err)
		return
	}
	g.nodes[id], g.disks[id] = node, &disk
	if !slices.Contains(g.ids, id) {
		g.ids = append(g.ids, id)
	}
}

func (g *testGroup) deliver(limit int, except []ID) {
	for {
		for _, id := range g.ids {
			g.handleReady(id)
		}
		if len(g.queue) == 0 || limit == 0 {
			return
		}
		m := g.queue[0]
		g.queue = g.queue[1:]
		if g.nodes[m.To] == nil || slices.Contains(except, m.From) || slices.Contains(except, m.To) {
			continue
		}
		limit--
		fmt.Fprintln(&g.out, describe(m))
		if err := g.nodes[m.To].Step(m); err != nil {
			fmt.Fprintln(&g.out, err)
		}
	}
}

func (g *testGroup) handleReady(id ID) {
	for n := g.nodes[id]; n.HasReady(); {
		rd := n.Ready()
		r := &replica{disk: *g.disks[id]}
		(&sim{}).persist(r, rd)
		*g.disks[id] = r.disk
		g.queue = append(g.queue, rd.Messages...)
		for _, read := range rd.Reads {
			fmt.Fprintf(&g.out, "%s read %d index=%d lost=%t\n", id, read.ID, read.Index, read.LeadershipLost)
		}
		n.Advance(rd)
	}
}

func (g *testGroup) status(id ID) {
	st, n := g.nodes[id].Status(), g.nodes[id]
	fmt.Fprintf(&g.out, "%s %s term=%d vote=%s leader=%s commit=%d log=%d+%s voters=%v learners=%v active=%t applied=%t\n", id,
		st.Role, st.Term, n.vote, st.Leader, st.Commit, n.log.baseIndex, terms(n.log.entries), st.Membership.Voters, st.Membership.Learners,
		st.QuorumActive, st.TermApplied)
}

func terms(entries []Entry) string {
	var words []string
	for _, e := range entries {
		words = append(words, fmt.Sprintf("%d/%d", e.Index, e.Term))
	}
	return "[" + strings.Join(words, " ") + "]"
}

// describe returns a message as text, without zero fields.
func describe(m Message) string {
	s := fmt.Sprintf("%s->%s %s term=%d", m.From, m.To, m.Kind, m.Term)
	for _, v := range []struct {
		name  string
		value uint64
	}{{"index", m.Index}, {"log-term", m.LogTerm}, {"commit", m.Commit}, {"hint", m.HintIndex}, {"hint-term", m.HintTerm}, {"round", m.Round}} {
		if v.value > 0 {
			s += fmt.Sprintf(" %s=%d", v.name, v.value)
		}
	}
	if len(m.Entries) > 0 {
		s += " " + terms(m.Entries)
	}
	if m.Snapshot != nil {
		s += fmt.Sprintf(" snapshot=%d/%d", m.Snapshot.Index, m.Snapshot.Term)
	}
	if m.Reject {
		s += " reject"
	}
	if m.Force {
		s += " force"
	}
	return s
}
