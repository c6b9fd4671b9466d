package control

import (
	"slices"
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/config"
	"bramleyquay.example/coord/hotkey"
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

// hotKeyReportAge is the age after which a member's report is discarded.
const hotKeyReportAge = 10 * time.Second

// HotKeySplitter is the HotKeyPlanner that control replicas use. It splits hot keys
// and merges them back. It does not move the new units: rebalancing does, so that
// two planners never move the same unit.
type HotKeySplitter struct {
	cfg      hotkey.Config
	planners map[string]*hotkey.Planner
	reports  map[table.MemberID]hotKeyReport
}

type hotKeyReport struct {
	at   clock.Reading
	keys []HotKey
}

// NewHotKeySplitter returns a planner that has no reports yet.
func NewHotKeySplitter(cfg hotkey.Config) *HotKeySplitter {
	h := &HotKeySplitter{cfg: cfg}
	h.Reset()
	return h
}

// Reset implements HotKeyPlanner.
func (h *HotKeySplitter) Reset() {
	h.planners = map[string]*hotkey.Planner{}
	h.reports = map[table.MemberID]hotKeyReport{}
}

// Observe implements HotKeyPlanner.
func (h *HotKeySplitter) Observe(now clock.Reading, from table.MemberID, keys []HotKey) {
	h.reports[from] = hotKeyReport{at: now, keys: keys}
}

// Plan implements HotKeyPlanner.
func (h *HotKeySplitter) Plan(now clock.Reading, t *table.Table, members map[string][]hotkey.MemberLoad) []HotKeyDecision {
	keys, splits := h.keys(now, t), splitKeys(t)
	var decisions []HotKeyDecision
	for _, service := range sortedKeys(members) {
		p := h.planners[service]
		if p == nil {
			p = hotkey.NewPlanner(h.cfg)
			h.planners[service] = p
		}
		for _, d := range p.Plan(now, keys[service], members[service], splits[service]) {
			switch d.Kind {
			case hotkey.Split:
				decisions = append(decisions, HotKeyDecision{Action: HotKeySplit, Keyspace: d.Keyspace, Hash: d.Hash})
			case hotkey.Merge:
				decisions = append(decisions, HotKeyDecision{Action: HotKeyMerge, Keyspace: d.Keyspace, Hash: d.Hash})
			}
		}
	}
	return decisions
}

// keys returns the reported keys by service. It skips keys that the reporting
// member no longer owns.
func (h *HotKeySplitter) keys(now clock.Reading, t *table.Table) map[string][]hotkey.KeyLoad {
	out := map[string][]hotkey.KeyLoad{}
	for _, from := range sortedKeys(h.reports) {
		r := h.reports[from]
		if now.MonoSince(r.at) > hotKeyReportAge {
			delete(h.reports, from)
			continue
		}
		for _, k := range r.keys {
			e := t.Lookup(k.Keyspace, k.Hash)
			if e == nil || e.Owner != from {
				continue
			}
			service := config.ServiceOf(k.Keyspace)
			out[service] = append(out[service], hotkey.KeyLoad{Keyspace: k.Keyspace, Shard: e.Unit.Shard, Hash: k.Hash, Rate: k.Rate, Owner: from})
		}
	}
	return out
}

// splitKeys returns the split keys of the table by service, sorted.
func splitKeys(t *table.Table) map[string][]hotkey.SplitKey {
	out := map[string][]hotkey.SplitKey{}
	for _, name := range t.Keyspaces() {
		t.EachSplitKey(name, func(e *table.Entry) {
			service := config.ServiceOf(name)
			out[service] = append(out[service], hotkey.SplitKey{Keyspace: name, Shard: e.Unit.Shard, Hash: e.Unit.KeyHash, Owner: e.Owner})
		})
	}
	for _, list := range out {
		slices.SortFunc(list, func(a, b hotkey.SplitKey) int {
			return compareUnits(shard.Unit{Keyspace: a.Keyspace, Shard: a.Shard, KeyHash: a.Hash}, shard.Unit{Keyspace: b.Keyspace, Shard: b.Shard, KeyHash: b.Hash})
		})
	}
	return out
}
