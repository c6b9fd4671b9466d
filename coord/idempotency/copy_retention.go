package idempotency

import (
	"cmp"
	"slices"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

// Detach removes the records of a unit that this member owns from epoch on, and
// returns them. It returns nil if they are not complete or the fence is above
// epoch. Writes of lower epochs are rejected from now on.
func (c *CopyStore) Detach(now clock.Reading, unit shard.Unit, epoch uint64) *UnitRecords {
	s := c.unit(unit)
	s.lastAccess = now
	if epoch < s.fence {
		return nil
	}
	s.fence = epoch
	var records *UnitRecords
	if s.store != nil {
		records = &UnitRecords{Unit: unit, Epoch: epoch, store: s.store}
	}
	c.discard(s)
	return records
}

// Attach stores the records of a unit that this member owned until now. They
// are ignored if the fence is above their epoch and the unit has complete records.
func (c *CopyStore) Attach(now clock.Reading, records *UnitRecords) {
	s := c.unit(records.Unit)
	s.lastAccess = now
	if records.Epoch < s.fence && s.store != nil {
		return
	}
	c.discard(s)
	s.fence = max(s.fence, records.Epoch)
	s.store = records.store
	c.bytes += s.store.bytes
}

// Prune removes the records of units for which the ownership table lists this
// member neither as owner, copy or syncing copy nor as source. Records are
// retained if the table's epoch is below the unit's fence. The records of a unit
// that is not in the table are removed after MaxClockSkew without an access.
// entry returns the table's entry for a unit, or nil if there is none: a member
// has a part in few units, so lookups cost less than a pass over the table.
func (c *CopyStore) Prune(now clock.Reading, entry func(shard.Unit) *table.Entry) {
	for unit, s := range c.units {
		if s.store == nil && s.incoming == nil {
			continue
		}
		e := entry(unit)
		switch {
		case e == nil && now.Since(s.lastAccess) < c.cfg.MaxClockSkew:
		case e != nil && (e.Epoch < s.fence || e.HasMember(c.cfg.Self) || slices.Contains(e.Sources, c.cfg.Self)):
		default:
			c.discard(s)
		}
	}
}

// sweepUnits is the largest number of units that one call of Tick visits.
const sweepUnits = 64

// sweepRecords is the largest number of records of one unit that one call of
// Tick removes.
const sweepRecords = 256

// Tick removes expired records and old fences of some units, in turn. Units with a
// transfer in progress are skipped.
func (c *CopyStore) Tick(now clock.Reading) {
	if len(c.sweep) == 0 {
		c.sweep = sortedUnits(c.units)
	}
	n := min(sweepUnits, len(c.sweep))
	for _, unit := range c.sweep[:n] {
		s := c.units[unit]
		switch {
		case s == nil, s.incoming != nil:
		case s.store != nil:
			before := s.store.bytes
			s.store.expire(wallMs(now), c.cfg.MaxClockSkew, sweepRecords, nil)
			c.bytes += s.store.bytes - before
		case now.Since(s.lastAccess) > c.cfg.FenceLifetime:
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
