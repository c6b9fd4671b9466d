package control

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bramleyquay.example/coord/config"
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

// schedulesPerFamily is the number of random schedules for each of the four families,
// 10,000 in total.
const schedulesPerFamily = 2_500

// TestMain sets the number and the seed of rapid's checks unless the flags
// -rapid.checks and -rapid.seed are given. With -short it runs a tenth of them. It
// writes no fail files and limits shrinking to 5 s.
func TestMain(m *testing.M) {
	flag.Parse()
	set := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	if !set["rapid.checks"] {
		checks := schedulesPerFamily
		if testing.Short() {
			checks /= 10
		}
		_ = flag.Set("rapid.checks", strconv.Itoa(checks))
	}
	if !set["rapid.seed"] {
		_ = flag.Set("rapid.seed", strconv.FormatInt(time.Now().UnixNano(), 10))
	}
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.shrinktime", "5s")
	fmt.Println("rapid.seed", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}

// opFamilies lists the operations that schedules of each family draw from. An
// operation that is listed twice is drawn twice as often.
//
// pause stops a process, freeze also stops its monotonic clock, and resume ends both.
// cutOut loses a member's renewals and cutIn the replies; heal ends both and resumes
// the member. rules, service and failover apply a document with other key rules, with
// or without the service, and with failover on or off. depose ends a term and elects a
// leader later.
var opFamilies = map[string][]string{
	"losses":    {"crash", "restart", "pause", "freeze", "resume", "cutOut", "cutIn", "heal", "restart"},
	"moves":     {"move", "drain", "undrain", "leave", "cancel", "pause", "cutOut", "heal", "split", "merge", "restart"},
	"leaders":   {"elect", "stepWall", "pauseLeader", "freeze", "cutIn", "restart", "move", "resume", "heal", "depose"},
	"documents": {"rules", "rules", "service", "failover", "approve", "cutIn", "freeze", "heal", "restart", "remove", "elect"},
}

// op is one operation of a schedule. n selects the member or other argument.
type op struct {
	after time.Duration
	kind  string
	n     int
}

func drawOps(t *rapid.T, kinds []string) []op {
	gen := rapid.Custom(func(t *rapid.T) op {
		return op{
			after: time.Duration(rapid.IntRange(0, 600).Draw(t, "after")) * time.Millisecond,
			kind:  rapid.SampledFrom(kinds).Draw(t, "kind"),
			n:     rapid.IntRange(0, 23).Draw(t, "n"),
		}
	})
	return rapid.SliceOfN(gen, 1, 14).Draw(t, "ops")
}

// TestSchedules guards against two members that work on a key at the same time,
// against work on a unit that is assigned to another member, against epochs and
// revisions that fall, against replicas that differ, and against units that stay
// unserved after the faults end.
func TestSchedules(t *testing.T) {
	for _, family := range sortedKeys(opFamilies) {
		t.Run(family, func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(t *rapid.T) {
				s := newSim(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 4).Draw(t, "members"))
				s.applyDocument(simDocument(0, true, true))
				s.runUntil(2500 * time.Millisecond)
				for _, o := range drawOps(t, opFamilies[family]) {
					s.runUntil(s.now + o.after)
					s.operate(o)
				}
				s.runUntil(s.now + 300*time.Millisecond)
				s.healAll()
				s.runUntil(s.now + 6*time.Second)
				for _, f := range s.check.finish(s) {
					t.Error(f)
				}
				for _, f := range s.checkStable() {
					t.Error(f)
				}
			})
		})
	}
}

// simDocument returns a document with one of four sets of key rules, with or without
// the service, and with failover on or off.
func simDocument(rules int, service, failover bool) config.Document {
	dcs := []string{"a", "b", "c"}
	doc := config.Document{Automation: config.AllAutomation()}
	doc.Automation.Failover = failover
	for _, dc := range dcs {
		doc.DataCentres = append(doc.DataCentres, config.DataCentre{Name: dc})
	}
	if !service {
		return doc
	}
	s := config.Service{Name: "pay", Keyed: true, Payments: true, DataCentres: dcs, ShardCount: 4, Ramp: config.Ramp{DurationMs: 300}, RecordLifetimeMs: 1000}
	all := config.KeyRule{Name: "all", Prefix: "", ShardCount: 2}
	switch rules % 4 {
	case 1:
		s.Rules = []config.KeyRule{all, {Name: "as", Prefix: "a", ShardCount: 2}}
	case 2:
		s.Rules = []config.KeyRule{all, {Name: "as", Prefix: "a1", ShardCount: 2}}
	case 3:
		s.Rules = []config.KeyRule{all, {Name: "bs", Prefix: "b", ShardCount: 2}}
	}
	doc.Services = []config.Service{s}
	return doc
}

// commitCommand adds an operator's command to the log.
func (s *sim) commitCommand(c Command) {
	data, err := EncodeCommand(c)
	if err != nil {
		panic(err)
	}
	s.commit(data)
}

func (s *sim) applyDocument(doc config.Document) {
	text, err := json.Marshal(doc)
	if err != nil {
		panic(err)
	}
	s.changes++
	revision, _, _ := s.oracle.Document()
	s.commitCommand(Command{ApplyDocument: &ApplyDocument{Base: revision, ChangeID: fmt.Sprint("change-", s.changes), Author: "ann", Text: text}})
}

func (s *sim) operate(o op) {
	m := s.members[o.n%len(s.members)]
	switch o.kind {
	case "crash":
		m.crash()
	case "restart":
		m.crash()
		s.after(time.Duration(o.n*20)*time.Millisecond, func() {
			if m.down && !m.stopped {
				m.start()
			}
		})
	case "pause", "freeze":
		if !m.clock.paused {
			m.clock.pause(s.now, o.kind == "freeze")
			s.check.refresh(m)
		}
	case "resume":
		m.resume()
	case "cutOut":
		m.cutOut = true
	case "cutIn":
		m.cutIn = true
	case "heal":
		m.cutIn, m.cutOut = false, false
		m.resume()
	case "elect":
		s.elect(o.n % len(s.replicas))
	case "stepWall":
		s.replicas[o.n%len(s.replicas)].clock.wallStep += 2 * time.Second
	case "depose":
		s.depose()
		s.after(time.Duration(50+o.n*15)*time.Millisecond, func() {
			if s.leader < 0 {
				s.elect(o.n % len(s.replicas))
			}
		})
	case "pauseLeader":
		if r := s.replicas[0]; s.leader == 0 && !r.clock.paused {
			r.clock.pause(s.now, o.n%2 == 0)
			s.after(time.Duration(o.n*20)*time.Millisecond, func() {
				if r.clock.paused {
					r.clock.resume(s.now)
				}
			})
		}
	default:
		s.operateAdmin(o, m)
	}
}

func (s *sim) operateAdmin(o op, m *simMember) {
	var units []table.Entry
	s.oracle.Table().Each(func(e *table.Entry) bool { units = append(units, *e); return true })
	unit := table.Entry{Unit: shard.Unit{Keyspace: "pay"}}
	if len(units) > 0 {
		unit = units[o.n%len(units)]
	}
	inc := uint64(0)
	if known, ok := s.oracle.Member(m.id); ok {
		inc = known.Incarnation
	}
	switch o.kind {
	case "move":
		s.commitCommand(Command{BeginMove: &BeginMove{Unit: unit.Unit, Epoch: unit.Epoch, To: m.id}})
	case "cancel":
		s.commitCommand(Command{CancelMove: &CancelMove{Unit: unit.Unit, Epoch: unit.Epoch}})
	case "drain", "undrain":
		s.commitCommand(Command{SetDrain: &SetDrain{Scope: DrainInstance, Name: string(m.id), On: o.kind == "drain"}})
	case "leave":
		m.leaving = true
	case "split":
		s.commitCommand(Command{SplitKey: &SplitKey{Keyspace: unit.Unit.Keyspace, Hash: shard.Hash(simKeys[o.n])}})
	case "merge":
		s.commitCommand(Command{MergeKey: &MergeKey{Unit: unit.Unit}})
	case "remove":
		s.commitCommand(Command{RemoveMember: &RemoveMember{ID: m.id, Incarnation: inc}})
	case "rules":
		s.applyDocument(simDocument(o.n, true, o.n%5 != 0))
	case "service":
		s.applyDocument(simDocument(o.n, o.n%2 == 0, true))
	case "failover":
		s.applyDocument(simDocument(0, true, o.n%2 == 0))
	case "approve":
		for _, a := range s.oracle.Actions() {
			s.commitCommand(Command{ApproveAction: &ApproveAction{ID: a.ID}})
		}
	}
}

func (m *simMember) resume() {
	if m.clock.paused {
		m.clock.resume(m.sim.now)
		m.sim.check.refresh(m)
	}
}

// healAll ends every fault and drain and elects a leader, so that the cluster must
// serve all units again.
func (s *sim) healAll() {
	s.loss = 0
	for _, m := range s.members {
		m.cutIn, m.cutOut = false, false
		m.resume()
		if m.down || m.leaving {
			m.crash()
			m.stopped = false
			m.start()
		}
		s.commitCommand(Command{SetDrain: &SetDrain{Scope: DrainInstance, Name: string(m.id)}})
	}
	s.applyDocument(simDocument(0, true, true))
	if s.leader < 0 {
		s.elect(0)
	}
	for _, r := range s.replicas {
		if r.clock.paused {
			r.clock.resume(s.now)
		}
	}
}

// checkStable returns the differences between replicas and the unserved units, if any,
// after a time without faults.
func (s *sim) checkStable() []string {
	var out []string
	for _, r := range s.replicas {
		s.catchUp(r, len(s.log))
	}
	a, _ := s.replicas[0].state.Snapshot()
	b, _ := s.replicas[1].state.Snapshot()
	if string(a) != string(b) {
		out = append(out, "replicas with the same log differ")
	}
	s.oracle.Table().Each(func(e *table.Entry) bool {
		if m, ok := s.oracle.Member(e.Owner); !ok || m.State != MemberActive || e.Phase == table.Unowned {
			out = append(out, fmt.Sprintf("unit %s is not served: %+v", e.Unit, *e))
		}
		return true
	})
	if len(out) == 0 && s.oracle.Table().Len() == 0 {
		out = append(out, "no units")
	}
	return out
}
