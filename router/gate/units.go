package gate

import (
	"sync"

	"bramleyquay.example/coord/control"
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

// units counts the requests in progress of each unit and notes which units
// stop because they move away.
//
// Invariant: a unit is reported as released only while no request of it runs
// and none can start at the same epoch.
type units struct {
	self table.MemberID

	mu       sync.Mutex
	running  map[shard.Unit]int
	stopping map[shard.Unit]uint64
}

func newUnits(self table.MemberID) *units {
	return &units{self: self, running: map[shard.Unit]int{}, stopping: map[shard.Unit]uint64{}}
}

// enter counts a request. It reports false if the unit stops. The caller
// checks ownership after enter, so that a unit which begins to move in
// between is not released while the request goes on.
func (u *units) enter(unit shard.Unit) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if _, stops := u.stopping[unit]; stops {
		return false
	}
	u.running[unit]++
	return true
}

// leave ends a request that enter has counted. It reports whether the unit is
// released by it.
func (u *units) leave(unit shard.Unit) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running[unit]--
	if u.running[unit] > 0 {
		return false
	}
	delete(u.running, unit)
	_, stops := u.stopping[unit]
	return stops
}

// follow takes over a new table. It reports whether a unit was released.
func (u *units) follow(t *table.Table) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	for unit, epoch := range u.stopping {
		e := t.Entry(unit)
		if e == nil || e.Owner != u.self || e.Phase != table.Moving || e.Epoch != epoch {
			delete(u.stopping, unit)
		}
	}
	released := false
	t.Each(func(e *table.Entry) bool {
		if e.Owner == u.self && e.Phase == table.Moving {
			u.stopping[e.Unit] = e.Epoch
			released = released || u.running[e.Unit] == 0
		}
		return true
	})
	return released
}

// released lists the units that have stopped.
func (u *units) released() []control.UnitEpoch {
	u.mu.Lock()
	defer u.mu.Unlock()
	var list []control.UnitEpoch
	for unit, epoch := range u.stopping {
		if u.running[unit] == 0 {
			list = append(list, control.UnitEpoch{Unit: unit, Epoch: epoch})
		}
	}
	return list
}

// total returns the number of requests in progress.
func (u *units) total() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := 0
	for _, r := range u.running {
		n += r
	}
	return n
}
