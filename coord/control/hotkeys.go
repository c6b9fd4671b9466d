package control

import (
	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/config"
	"bramleyquay.example/coord/hotkey"
	"bramleyquay.example/coord/placement"
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

// HotKeyPlanner decides which keys become units of their own.
type HotKeyPlanner interface {
	// Observe takes a member's report of its most frequent keys.
	Observe(now clock.Reading, from table.MemberID, keys []HotKey)
	// Plan returns what to do now. It is called about every
	// Config.RebalanceInterval and repeats a decision until the table shows it.
	// members holds the loads of the members of each service.
	Plan(now clock.Reading, t *table.Table, members map[string][]hotkey.MemberLoad) []HotKeyDecision
	// Reset forgets all reports, because leadership changed.
	Reset()
}

// HotKeyAction is what to do with a hot key.
type HotKeyAction string

const (
	// HotKeySplit makes the key a unit of its own.
	HotKeySplit HotKeyAction = "split"
	// HotKeyMove moves a split key to the member with the least load.
	HotKeyMove HotKeyAction = "move"
	// HotKeyMerge returns a split key to its shard.
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
		if cmd.BeginMove == nil || c.pace(now, s, *cmd.BeginMove) {
			c.propose(now, cmd)
		}
	}
}

// memberLoads returns the reported loads of the members that can receive units.
func (c *Controller) memberLoads(now clock.Reading, s *State) map[string][]hotkey.MemberLoad {
	loads := map[string][]hotkey.MemberLoad{}
	for _, service := range c.services(s) {
		for _, m := range c.candidates(now, s, service) {
			if v := c.seen[m.ID]; v != nil {
				loads[service] = append(loads[service], hotkey.MemberLoad{Member: m.ID, Rate: v.load.Rate})
			}
		}
	}
	return loads
}

func (c *Controller) hotKeyCommand(now clock.Reading, s *State, d HotKeyDecision) (Command, bool) {
	count := s.tbl.Shards(d.Keyspace)
	if count == 0 || d.Hash == 0 {
		return Command{}, false
	}
	whole := s.tbl.Entry(shard.Unit{Keyspace: d.Keyspace, Shard: shard.IndexForHash(d.Hash, count)})
	key := shard.Unit{Keyspace: d.Keyspace, Shard: whole.Unit.Shard, KeyHash: d.Hash}
	e := s.tbl.Entry(key)
	switch {
	case s.copiesOf(d.Keyspace) > 0:
		return Command{}, false // payment records belong to the shard
	case d.Action == HotKeySplit && e == nil && whole.Phase == table.Serving:
		return Command{SplitKey: &SplitKey{Keyspace: d.Keyspace, Hash: d.Hash}}, true
	case e == nil || e.Phase != table.Serving:
		return Command{}, false
	case d.Action == HotKeyMerge && e.Owner == whole.Owner:
		return Command{MergeKey: &MergeKey{Unit: key}}, true
	case d.Action == HotKeyMerge && whole.Phase == table.Serving:
		return Command{BeginMove: &BeginMove{Unit: key, Epoch: e.Epoch, To: whole.Owner}}, true
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
