package control

import (
	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/config"
	"bramleyquay.example/coord/hotkey"
	"bramleyquay.example/coord/placement"
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

// HotKeyPlanner decides which hot keys are split out of their shards into units
// of their own, and which are merged back.
type HotKeyPlanner interface {
	// Observe records a member's report of its most frequent keys.
	Observe(now clock.Reading, from table.MemberID, keys []HotKey)
	// Plan returns the decisions for the current table. It is called about
	// every Config.RebalanceInterval and returns a decision again until the
	// table shows its effect. members holds the member loads by service.
	Plan(now clock.Reading, t *table.Table, members map[string][]hotkey.MemberLoad) []HotKeyDecision
	// Reset drops all reports. It is called when leadership changes.
	Reset()
}

// HotKeyAction is the kind of a HotKeyDecision.
type HotKeyAction string

const (
	// HotKeySplit makes the key a unit of its own.
	HotKeySplit HotKeyAction = "split"
	// HotKeyMove moves a split key to the member with the least load.
	HotKeyMove HotKeyAction = "move"
	// HotKeyMerge merges a split key back into its shard.
	HotKeyMerge HotKeyAction = "merge"
)

// HotKeyDecision is one decision of a HotKeyPlanner.
type HotKeyDecision struct {
	Action   HotKeyAction
	Keyspace string
	Hash     uint64
}

// planHotKeys turns the planner's decisions into commands.
func (c *Controller) planHotKeys(now clock.Reading, s *State) {
	if c.cfg.HotKeys == nil {
		return
	}
	var commands []Command
	for _, d := range c.cfg.HotKeys.Plan(now, s.tbl, c.memberLoads(now, s)) {
		if cmd, ok := c.hotKeyCommand(now, s, d); ok {
			commands = append(commands, cmd)
		}
	}
	if len(commands) == 0 {
		return
	}
	if !s.doc.Automation.Allowed(config.ActionHotKeys) {
		c.proposeAction(now, s, ProposedAction{ID: "hotKeys", Kind: config.ActionHotKeys, Summary: "split, move or merge hot keys", Commands: commands})
		return
	}
	for _, cmd := range commands {
		if cmd.BeginMove == nil || c.tryStartMove(now, s, *cmd.BeginMove) {
			c.propose(now, cmd)
		}
	}
}

// memberLoads returns the reported loads of the members that can receive units.
func (c *Controller) memberLoads(now clock.Reading, s *State) map[string][]hotkey.MemberLoad {
	loads := map[string][]hotkey.MemberLoad{}
	for _, service := range c.services(s) {
		for _, m := range c.candidates(now, s, service) {
			if v := c.views[m.ID]; v != nil {
				loads[service] = append(loads[service], hotkey.MemberLoad{Member: m.ID, Rate: v.load.Rate})
			}
		}
	}
	return loads
}

// hotKeyCommand returns the next command for a decision, if one is possible now. A
// merge needs a move first if the key and its shard have different owners.
func (c *Controller) hotKeyCommand(now clock.Reading, s *State, d HotKeyDecision) (Command, bool) {
	count := s.tbl.Shards(d.Keyspace)
	if count == 0 || d.Hash == 0 {
		return Command{}, false
	}
	parent := s.tbl.Entry(shard.Unit{Keyspace: d.Keyspace, Shard: shard.IndexForHash(d.Hash, count)})
	key := shard.Unit{Keyspace: d.Keyspace, Shard: parent.Unit.Shard, KeyHash: d.Hash}
	e := s.tbl.Entry(key)
	switch {
	case s.copiesOf(d.Keyspace) > 0:
		return Command{}, false // idempotency records are stored by shard
	case d.Action == HotKeySplit && e == nil && parent.Phase == table.Serving:
		return Command{SplitKey: &SplitKey{Keyspace: d.Keyspace, Hash: d.Hash}}, true
	case e == nil || e.Phase != table.Serving:
		return Command{}, false
	case d.Action == HotKeyMerge && e.Owner == parent.Owner:
		return Command{MergeKey: &MergeKey{Unit: key}}, true
	case d.Action == HotKeyMerge && parent.Phase == table.Serving:
		return Command{BeginMove: &BeginMove{Unit: key, Epoch: e.Epoch, To: parent.Owner}}, true
	case d.Action == HotKeyMove:
		return c.moveHotKey(now, s, e)
	default:
		return Command{}, false
	}
}

func (c *Controller) moveHotKey(now clock.Reading, s *State, e *table.Entry) (Command, bool) {
	k := s.keyspaces[e.Unit.Keyspace]
	members := c.candidates(now, s, k.Service)
	load := map[table.MemberID]float64{}
	for _, u := range c.serviceUnits(s, k.Service) {
		load[u.Owner] += u.Load
	}
	load[e.Owner] -= c.loads.of(e.Unit)
	unit := placement.UnitInfo{ID: e.Unit, Load: c.loads.of(e.Unit), DataCentres: k.DataCentres}
	for _, a := range c.planner(k.Service).Assign([]placement.UnitInfo{unit}, members, load) {
		if a.To != e.Owner {
			return Command{BeginMove: &BeginMove{Unit: e.Unit, Epoch: e.Epoch, To: a.To}}, true
		}
	}
	return Command{}, false
}
