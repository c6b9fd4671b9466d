package control

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/hotkey"
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

// Guards against units that move away from a restarted target and back again after
// its ramp.
func TestRestartedTargetKeepsUnits(t *testing.T) {
	is := is.New(t)
	f := newTestCluster(t)
	doc := testDocument()
	doc.Services[0].Ramp.DurationMs = 20_000
	f.applyDocument(doc)
	before := f.state.Table()
	target := *f.renewals["m1"].Target
	target.Incarnation = 2
	f.renewals["m1"].Target = &target
	f.run(30 * time.Second)
	before.EachInKeyspace("clubs", func(e *table.Entry) bool {
		is.Equal(f.entry(e.Unit).Owner, e.Owner)
		return true
	})
}

// Guards against a new member that gets more units than its ramp allows.
func TestNewMemberIsRamped(t *testing.T) {
	is := is.New(t)
	f := newTestCluster(t)
	doc := testDocument()
	doc.Services[0].Ramp.DurationMs = 60_000
	f.applyDocument(doc)
	f.addMember("m9", "b", "clubs")
	for range 50 {
		f.run(time.Second)
		m, ok := f.state.Member("m9")
		if !ok {
			continue
		}
		ramp := f.controller.ramp(clock.At(f.now), f.state, &m)
		is.True(float64(len(f.state.unitsOf("m9").owned)+len(f.state.unitsOf("m9").incoming)) <= ramp*64/5+1)
	}
	is.True(len(f.state.unitsOf("m9").owned) >= 6)
	f.run(60 * time.Second)
	for _, n := range f.servedUnits() {
		is.True(float64(n) <= 1.10*64/5)
	}
}

// Guards against rebalancing while its switch is off, and against an approval that
// has no effect.
func TestRebalanceSwitch(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	doc := testDocument()
	doc.Automation.Rebalance = false
	f.applyDocument(doc)
	f.addMember("m0", "a", "clubs")
	f.run(5 * time.Second)
	f.addMember("m1", "b", "clubs")
	f.run(30 * time.Second)
	is.Equal(f.servedUnits()["m0"], 64)
	is.Equal(f.state.Actions()[0].ID, "rebalance/clubs")
	is.True(f.apply(Command{ApproveAction: &ApproveAction{ID: "rebalance/clubs", ChangeID: "ok", Author: "ann"}}).Accepted())
	f.run(time.Second)
	is.True(float64(f.servedUnits()["m0"]) <= 1.10*32 && f.servedUnits()["m1"] <= 32) // balanced, with no more moves than needed
}

// Guards against more rebalancing moves per minute than the limit.
func TestMovesPerMinute(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.controller.cfg.MovesPerMinute, f.controller.cfg.MaxMoveSharePerMinute = 10, 0
	f.applyDocument(testDocument())
	f.addMember("m0", "a", "clubs")
	f.run(10 * time.Second)
	f.addMember("m1", "b", "clubs")
	f.run(time.Minute)
	n := len(f.state.unitsOf("m1").owned)
	is.True(n >= 5 && n <= 11)
}

// fixedHotKeyPlanner is a HotKeyPlanner that returns the given decisions.
type fixedHotKeyPlanner struct {
	decisions []HotKeyDecision
	reports   int
}

func (h *fixedHotKeyPlanner) Observe(clock.Reading, table.MemberID, []HotKey) { h.reports++ }
func (h *fixedHotKeyPlanner) Reset()                                          {}
func (h *fixedHotKeyPlanner) Plan(clock.Reading, *table.Table, map[string][]hotkey.MemberLoad) []HotKeyDecision {
	return h.decisions
}

// Guards against decisions of the planner that are not carried out, and against
// splits while the switch is off.
func TestHotKeys(t *testing.T) {
	is := is.New(t)
	f := newTestCluster(t)
	plan := &fixedHotKeyPlanner{}
	f.controller.cfg.HotKeys = plan
	const name = "clubs"
	hash := shard.Hash("hot")
	parent := f.state.Table().Lookup(name, hash)
	decide := func(a HotKeyAction) *table.Entry {
		plan.decisions = []HotKeyDecision{{a, name, hash}, {HotKeySplit, "none", hash}}
		f.run(8 * time.Second)
		return f.state.Table().Lookup(name, hash)
	}
	doc := testDocument()
	doc.Automation.HotKeys = false
	f.applyDocument(doc)
	is.Equal(decide(HotKeySplit).Unit, parent.Unit)
	is.Equal(f.state.Actions()[0].ID, "hotKeys")
	f.applyDocument(testDocument())
	is.True(decide(HotKeySplit).Unit.IsSplit())
	is.Equal(len(f.state.Actions()), 0)
	key := f.state.Table().Lookup(name, hash)
	for _, id := range sortedIDs(f.renewals) { // to another member
		m, _ := f.state.Member(id)
		if id != key.Owner && m.Target.Service == name {
			is.True(f.apply(Command{BeginMove: &BeginMove{Unit: key.Unit, Epoch: key.Epoch, To: id}}).Accepted())
			break
		}
	}
	is.True(decide(HotKeyMove).Owner != "")
	is.Equal(decide(HotKeyMerge).Unit, parent.Unit)
	f.renewals["m0"].HotKeys = []HotKey{{Keyspace: name, Hash: hash, Rate: 5}}
	f.step()
	is.Equal(plan.reports, 1)
}

// Guards against a split key without its idempotency records. Members store records
// by shard, so a split in a key space with records must be refused.
func TestPaymentKeysAreNotSplit(t *testing.T) {
	is := is.New(t)
	f := newTestCluster(t)
	f.applyDocument(testDocument())
	hash := shard.Hash("hot")
	before := f.state.Table().Lookup("pay", hash)
	result := f.apply(Command{SplitKey: &SplitKey{Keyspace: "pay", Hash: hash}})
	is.Equal(result.Refusal, RefusedInvalid)
	is.Equal(f.state.Table().Lookup("pay", hash).Unit, before.Unit)
}
