package gate

import (
	"sync"

	"bramleyquay.example/coord/control"
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

// units counts the requests in progress of each key and notes which units stop
// because they move away.
//
// Invariant: a unit is reported as released only while no request for one of
// its keys runs and none can start at the same epoch. Requests are counted by
// key and not by unit, because a key may be split out of its shard, or merged
// back, while a request for it runs.
type units struct {
	self table.MemberID

	mu       sync.Mutex
	table    *table.Table
	running  map[key]int
	stopping map[shard.Unit]uint64
}

// key is a key by its hash.
type key struct {
	keyspace string
	hash     uint64
}

func newUnits(self table.MemberID) *units {
	return &units{self: self, table: table.Empty(), running: map[key]int{}, stopping: map[shard.Unit]uint64{}}
}

// enter counts a request. It reports false if the key's unit stops. The caller
// checks ownership after enter, so that a unit which begins to move in
// between is not released while the request goes on.
func (u *units) enter(k key) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.stopping) > 0 {
		if e := u.table.Lookup(k.keyspace, k.hash); e != nil {
			if _, stops := u.stopping[e.Unit]; stops {
				return false
			}
		}
	}
	u.running[k]++
	return true
}

// leave ends a request that enter has counted. It reports whether a unit may
// be released by it.
func (u *units) leave(k key) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running[k]--
	if u.running[k] > 0 {
		return false
	}
	delete(u.running, k)
	return len(u.stopping) > 0
}

// follow takes over a new table. It reports whether a unit may be released.
func (u *units) follow(t *table.Table) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if t == u.table {
		return false
	}
	u.table = t
	clear(u.stopping)
	t.Each(func(e *table.Entry) bool {
		if e.Owner == u.self && e.Phase == table.Moving {
			u.stopping[e.Unit] = e.Epoch
		}
		return true
	})
	return len(u.stopping) > 0
}

// released lists the units that have stopped.
func (u *units) released() []control.UnitEpoch {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.stopping) == 0 {
		return nil
	}
	busy := map[shard.Unit]bool{}
	for k := range u.running {
		if e := u.table.Lookup(k.keyspace, k.hash); e != nil {
			busy[e.Unit] = true
		}
	}
	var list []control.UnitEpoch
	for unit, epoch := range u.stopping {
		if !busy[unit] {
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
