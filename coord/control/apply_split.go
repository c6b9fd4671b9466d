package control

import (
	"fmt"
	"slices"

	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

// splitKey creates a unit for one key. The unit starts with the owner and the
// copies of its shard, so no handover is needed. A planned move may follow.
func (s *State) splitKey(e *edit, c *SplitKey) Result {
	count := s.tbl.Shards(c.Keyspace)
	if count == 0 || c.Hash == 0 {
		return refuse(RefusedNotFound, fmt.Sprintf("no key space %q, or no key hash", c.Keyspace))
	}
	if s.copiesOf(c.Keyspace) > 0 {
		// Members store records by unit, so the records of the key would stay
		// with the shard.
		return refuse(RefusedInvalid, fmt.Sprintf("keys of %q cannot be split, because their payment records belong to the shard", c.Keyspace))
	}
	parent, ok := e.get(shard.Unit{Keyspace: c.Keyspace, Shard: shard.IndexForHash(c.Hash, count)})
	if !ok || parent.Phase != table.Serving {
		return refuse(RefusedNotReady, fmt.Sprintf("the shard of key %016x is not served at present", c.Hash))
	}
	n := parent
	n.Unit.KeyHash = c.Hash
	if _, exists := e.get(n.Unit); exists {
		return refuse(RefusedStale, fmt.Sprintf("key %016x is split already", c.Hash))
	}
	n.Epoch = max(parent.Epoch, s.epochFloor) + 1
	n.Sources = with(parent.Copies, parent.Owner)
	e.put(n)
	return Result{}
}

// mergeKey merges a split key back into its shard. The new epoch of the shard is
// above both earlier epochs, so that it passes the fences of either unit.
func (s *State) mergeKey(e *edit, c *MergeKey) Result {
	n, ok := e.get(c.Unit)
	if !ok || !c.Unit.IsSplit() {
		return refuse(RefusedNotFound, fmt.Sprintf("no split key %s", c.Unit))
	}
	parent, ok := e.get(shard.Unit{Keyspace: n.Unit.Keyspace, Shard: n.Unit.Shard})
	if !ok || n.Phase != table.Serving || parent.Phase != table.Serving || n.Owner != parent.Owner {
		return refuse(RefusedNotReady, fmt.Sprintf("key %s and its shard are not served by the same member", c.Unit))
	}
	if s.copiesOf(n.Unit.Keyspace) > 0 {
		// The service was changed to payments after the key was split.
		return refuse(RefusedInvalid, fmt.Sprintf("key %s has payment records of its own and cannot be merged", c.Unit))
	}
	parent.Epoch = max(parent.Epoch, n.Epoch) + 1
	parent.SyncingCopies = without(parent.SyncingCopies, func(m table.MemberID) bool { return !slices.Contains(n.SyncingCopies, m) })
	parent.RecordsLost = parent.RecordsLost || n.RecordsLost
	e.put(table.Entry{Unit: n.Unit, Epoch: n.Epoch, Removed: true})
	e.put(parent)
	return Result{}
}
