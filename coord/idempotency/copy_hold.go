package idempotency

import (
	"cmp"
	"slices"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

// Detach removes the records of a unit that this member owns from epoch on and
// returns them, or nil if this copy does not hold all of them. Writes of lower
// epochs are rejected from now on.
func (c *CopyStore) Detach(now clock.Reading, unit shard.Unit, epoch uint64) *UnitRecords {
	s := c.unit(unit)
	s.touched = now
	if epoch < s.fence {
		return nil
	}
	s.fence = epoch
	var held *UnitRecords
	if s.store != nil {
		held = &UnitRecords{Unit: unit, Epoch: epoch, store: s.store}
	}
	c.discard(s)
	return held
}

// Attach stores the records of a unit that this member owned until now.
func (c *CopyStore) Attach(now clock.Reading, held *UnitRecords) {
	s := c.unit(held.Unit)
	s.touched = now
	if held.Epoch < s.fence && s.store != nil {
		return
	}
	c.discard(s)
	s.fence = max(s.fence, held.Epoch)
	s.store = held.store
	c.bytes += s.store.bytes
}

// Prune drops the records of units that this member need not hold according to
// its table: it is neither owner, copy, joining copy nor source. A unit whose
// copy is ahead of the table is kept. A unit that is not in the table is
// dropped once nothing has touched it for the time of MaxClockSkew. Entry looks up a
// unit in the table, nil if it has none: a member has parts in few units, so
// lookups cost less than a pass over the table.
func (c *CopyStore) Prune(now clock.Reading, entry func(shard.Unit) *table.Entry) {
	for unit, s := range c.units {
		if s.store == nil && s.filling == nil {
			continue
		}
		e := entry(unit)
		switch {
		case e == nil && now.Since(s.touched) < c.cfg.MaxClockSkew:
		case e != nil && (e.Epoch < s.fence || e.HasMember(c.cfg.Self) || slices.Contains(e.Sources, c.cfg.Self)):
		default:
			c.discard(s)
		}
	}
}

// sweepUnits is how many units one call of Tick looks at.
const sweepUnits = 64

// sweepRecords is how many records of a unit one call of Tick removes.
const sweepRecords = 256

// Tick removes expired records and old fences.
func (c *CopyStore) Tick(now clock.Reading) {
	if len(c.sweep) == 0 {
		c.sweep = sortedUnits(c.units)
	}
	n := min(sweepUnits, len(c.sweep))
	for _, unit := range c.sweep[:n] {
		s := c.units[unit]
		switch {
		case s == nil, s.filling != nil:
		case s.store != nil:
			before := s.store.bytes
			s.store.expire(wallMs(now), c.cfg.MaxClockSkew, sweepRecords, nil)
			c.bytes += s.store.bytes - before
		case now.Since(s.touched) > c.cfg.FenceLifetime:
			delete(c.units, unit)
		}
	}
	c.sweep = c.sweep[n:]
}

func sortedUnits[V any](m map[shard.Unit]V) []shard.Unit {
	units := make([]shard.Unit, 0, len(m))
	for u := range m {
		units = append(units, u)
	}
	slices.SortFunc(units, compareUnits)
	return units
}

func compareUnits(a, b shard.Unit) int {
	return cmp.Or(cmp.Compare(a.Keyspace, b.Keyspace), cmp.Compare(a.Shard, b.Shard), cmp.Compare(a.KeyHash, b.KeyHash))
}
