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

// flow drives replicas by hand: time passes and messages arrive only when a
// command says so.
type flow struct {
	ids   []ID
	nodes map[ID]*Node
	disks map[ID]*PersistentState
	queue []Message
	out   strings.Builder
}

// TestFlows guards against changes in the main protocol flows: which message
// follows which, and when something is refused. See testdata/flows.
func TestFlows(t *testing.T) {
	datadriven.Walk(t, "testdata/flows", func(t *testing.T, path string) {
		f := &flow{nodes: map[ID]*Node{}, disks: map[ID]*PersistentState{}}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			f.out.Reset()
			for line := range strings.Lines(d.Cmd + " " + argText(d) + "\n" + d.Input) {
				if words := strings.Fields(line); len(words) > 0 {
					f.command(words[0], words[1:])
				}
			}
			return f.out.String()
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

func (f *flow) command(name string, args []string) {
	ids := make([]ID, len(args))
	for i, a := range args {
		ids[i] = ID(a)
	}
	var err error
	switch name {
	case "new":
		for _, id := range ids {
			f.start(id, Bootstrap(ids))
		}
	case "join":
		f.start(ids[0], PersistentState{})
	case "restart":
		f.start(ids[0], *f.disks[ids[0]])
	case "tick": // tick COUNT ID...
		count, _ := strconv.Atoi(args[0])
		for range count {
			for _, id := range ids[1:] {
				f.nodes[id].Tick()
			}
		}
	case "campaign": // lets the election timeout pass
		for n := f.nodes[ids[0]]; n.role == Follower; {
			n.Tick()
		}
	case "deliver": // deliver everything, except to and from some
		f.deliver(-1, ids)
	case "first": // first COUNT ID...: deliver some messages only, lose the rest
		count, _ := strconv.Atoi(args[0])
		f.deliver(count, ids[1:])
		f.queue = nil
	case "propose":
		for _, a := range args[1:] {
			_, e := f.nodes[ids[0]].Propose([]byte(a))
			err = e
		}
	case "change": // change LEADER KIND ID
		kind := ChangeKind(slices.Index([]string{"", "add", "promote", "remove"}, args[1]))
		_, err = f.nodes[ids[0]].ProposeMembership(MembershipChange{Kind: kind, ID: ids[2]})
	case "transfer":
		err = f.nodes[ids[0]].TransferLeadership(ids[1])
	case "read":
		err = f.nodes[ids[0]].ReadIndex(7)
	case "compact":
		err = f.nodes[ids[0]].Compact(f.nodes[ids[0]].log.applied, []byte("state"))
	case "send": // send FROM TO TERM: a vote request that a transfer caused
		term, _ := strconv.ParseUint(args[2], 10, 64)
		f.queue = append(f.queue, Message{Kind: MsgVote, From: ids[0], To: ids[1], Term: term, Index: 1, LogTerm: 1, Force: true})
	case "status":
		for _, id := range f.ids {
			f.status(id)
		}
	default:
		err = fmt.Errorf("unknown command %s", name)
	}
	if err != nil {
		fmt.Fprintln(&f.out, err)
	}
}

func (f *flow) start(id ID, disk PersistentState) {
	node, err := New(Config{ID: id, ElectionTicks: 10, HeartbeatTicks: 2, MaxBatchBytes: 4, Rand: rand.New(rand.NewPCG(1, 1))}, disk)
	if err != nil {
		fmt.Fprintln(&f.out, err)
		return
	}
	f.nodes[id], f.disks[id] = node, &disk
	if !slices.Contains(f.ids, id) {
		f.ids = append(f.ids, id)
	}
}

func (f *flow) deliver(limit int, except []ID) {
	for {
		for _, id := range f.ids {
			f.pump(id)
		}
		if len(f.queue) == 0 || limit == 0 {
			return
		}
		m := f.queue[0]
		f.queue = f.queue[1:]
		if f.nodes[m.To] == nil || slices.Contains(except, m.From) || slices.Contains(except, m.To) {
			continue
		}
		limit--
		fmt.Fprintln(&f.out, describe(m))
		if err := f.nodes[m.To].Step(m); err != nil {
			fmt.Fprintln(&f.out, err)
		}
	}
}

func (f *flow) pump(id ID) {
	for n := f.nodes[id]; n.HasReady(); {
		rd := n.Ready()
		r := &replica{disk: *f.disks[id]}
		(&sim{}).persist(r, rd)
		*f.disks[id] = r.disk
		f.queue = append(f.queue, rd.Messages...)
		for _, read := range rd.Reads {
			fmt.Fprintf(&f.out, "%s read %d index=%d lost=%t\n", id, read.ID, read.Index, read.LeadershipLost)
		}
		n.Advance(rd)
	}
}

func (f *flow) status(id ID) {
	st, n := f.nodes[id].Status(), f.nodes[id]
	fmt.Fprintf(&f.out, "%s %s term=%d vote=%s leader=%s commit=%d log=%d+%s voters=%v learners=%v active=%t applied=%t\n", id,
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
