package control

import (
	"fmt"
	"slices"

	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

// splitKey makes a unit of one key. It starts with the shard's owner and
// copies, so nothing changes hands; a planned move follows if it is to.
func (s *State) splitKey(e *edit, c *SplitKey) Result {
	count := s.tbl.Shards(c.Keyspace)
	if count == 0 || c.Hash == 0 {
		return refuse(RefusedNotFound, fmt.Sprintf("no key space %q, or no key hash", c.Keyspace))
	}
	if s.copiesOf(c.Keyspace) > 0 {
		// Holders file records by unit; those of the key would stay behind.
		return refuse(RefusedInvalid, fmt.Sprintf("keys of %q cannot be split, because their payment records belong to the shard", c.Keyspace))
	}
	whole, ok := e.get(shard.Unit{Keyspace: c.Keyspace, Shard: shard.IndexForHash(c.Hash, count)})
	if !ok || whole.Phase != table.Serving {
		return refuse(RefusedNotReady, fmt.Sprintf("the shard of key %016x is not served at present", c.Hash))
	}
	n := whole
	n.Unit.KeyHash = c.Hash
	if _, exists := e.get(n.Unit); exists {
		return refuse(RefusedStale, fmt.Sprintf("key %016x is split already", c.Hash))
	}
	n.Epoch = max(whole.Epoch, s.epochFloor) + 1
	n.Sources = with(whole.Copies, whole.Owner)
	e.put(n)
	return Result{}
}

// mergeKey returns a split key to its shard. The shard's epoch rises above the
// key's, so that a fence of either is passed.
func (s *State) mergeKey(e *edit, c *MergeKey) Result {
	n, ok := e.get(c.Unit)
	if !ok || !c.Unit.IsSplit() {
		return refuse(RefusedNotFound, fmt.Sprintf("no split key %s", c.Unit))
	}
	whole, ok := e.get(shard.Unit{Keyspace: n.Unit.Keyspace, Shard: n.Unit.Shard})
	if !ok || n.Phase != table.Serving || whole.Phase != table.Serving || n.Owner != whole.Owner {
		return refuse(RefusedNotReady, fmt.Sprintf("key %s and its shard are not served by the same member", c.Unit))
	}
	if s.copiesOf(n.Unit.Keyspace) > 0 {
		// The service took payments after the key was split out.
		return refuse(RefusedInvalid, fmt.Sprintf("key %s has payment records of its own and cannot be merged", c.Unit))
	}
	whole.Epoch = max(whole.Epoch, n.Epoch) + 1
	whole.SyncingCopies = without(whole.SyncingCopies, func(m table.MemberID) bool { return !slices.Contains(n.SyncingCopies, m) })
	whole.RecordsLost = whole.RecordsLost || n.RecordsLost
	e.put(table.Entry{Unit: n.Unit, Epoch: n.Epoch, Removed: true})
	e.put(whole)
	return Result{}
}
