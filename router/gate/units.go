package gate

import (
	"sync"

	"bramleyquay.example/coord/control"
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
	"bramleyquay.example/router/call"
	"bramleyquay.example/router/member"
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
	view     *member.View
	running  map[key]int
	stopping map[shard.Unit]uint64
	// admitted counts the running requests by the revisions that they were
	// admitted under.
	admitted map[revisions]int
}

// key is a key by its hash.
type key struct {
	keyspace string
	hash     uint64
}

// revisions are those of a table and a document.
type revisions struct{ table, config uint64 }

// entered is a request that enter has counted.
type entered struct {
	key   key
	under revisions
	unit  shard.Unit
}

func newUnits(self table.MemberID, v *member.View) *units {
	return &units{
		self: self, view: v,
		running: map[key]int{}, stopping: map[shard.Unit]uint64{}, admitted: map[revisions]int{},
	}
}

// enter counts a request for a key and finds its unit by the newest document,
// which may place the key elsewhere than the one of its arrival did. It
// reports false if no unit holds the key or the unit stops. The caller checks
// ownership after enter, so that a unit which begins to move in between is not
// released while the request goes on.
func (u *units) enter(c *call.Call) (entered, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	keyspace, ok := c.CurrentKeyspace(u.view.Document)
	if !ok {
		return entered{}, false
	}
	e := u.view.Table.Lookup(keyspace, c.Hash)
	if e == nil {
		return entered{}, false
	}
	if _, stops := u.stopping[e.Unit]; stops {
		return entered{}, false
	}
	r := entered{key: key{keyspace, c.Hash}, under: u.revisions(), unit: e.Unit}
	u.running[r.key]++
	u.admitted[r.under]++
	return r, true
}

func (u *units) revisions() revisions {
	return revisions{table: u.view.Table.Revision(), config: u.view.ConfigRevision}
}

// leave ends a request that enter has counted. It reports whether a unit may
// be released by it.
func (u *units) leave(r entered) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.admitted[r.under]--; u.admitted[r.under] == 0 {
		delete(u.admitted, r.under)
	}
	if u.running[r.key]--; u.running[r.key] > 0 {
		return false
	}
	delete(u.running, r.key)
	return len(u.stopping) > 0
}

// oldest returns the lowest revisions under which a running request was
// admitted; 0 if none runs under older ones than the newest.
func (u *units) oldest() (table, config uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.revisions()
	table, config = now.table, now.config
	for r := range u.admitted {
		table, config = min(table, r.table), min(config, r.config)
	}
	if table == now.table {
		table = 0
	}
	if config == now.config {
		config = 0
	}
	return table, config
}

// follow takes over a new view. It reports whether a unit may be released.
func (u *units) follow(v *member.View) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	same := v.Table == u.view.Table
	u.view = v
	if same {
		return false
	}
	clear(u.stopping)
	v.Table.Each(func(e *table.Entry) bool {
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
		if e := u.view.Table.Lookup(k.keyspace, k.hash); e != nil {
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
