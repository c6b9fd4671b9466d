package gate

import (
	"sync"

	"bramleyquay.example/coord/control"
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
	"bramleyquay.example/router/call"
	"bramleyquay.example/router/member"
)

// units counts the running requests of each key and tracks the units that are
// stopping because they are moving to another owner. Its methods may be called
// concurrently.
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
	stopping map[shard.Unit]uint64 // by unit the epoch that ends
	// admitted counts the running requests by the revisions of the view under
	// which they were admitted.
	admitted map[revisions]int
}

// key identifies a key by its hash.
type key struct {
	keyspace string
	hash     uint64
}

// revisions are those of a table and a document.
type revisions struct{ table, config uint64 }

// runningRequest is a request that was counted by enter.
type runningRequest struct {
	key           key
	admittedUnder revisions
	unit          shard.Unit
}

func newUnits(self table.MemberID, v *member.View) *units {
	return &units{
		self: self, view: v,
		running: map[key]int{}, stopping: map[shard.Unit]uint64{}, admitted: map[revisions]int{},
	}
}

// enter counts a request for a key and finds its unit by the newest document,
// which may place the key in another unit than the document at the request's
// arrival. It returns false if no unit contains the key or the unit is stopping.
// The caller must check ownership after enter and not before: a unit that starts
// to move in between is then not released while the request runs.
func (u *units) enter(c *call.Call) (runningRequest, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	keyspace, ok := c.CurrentKeyspace(u.view.Document)
	if !ok {
		return runningRequest{}, false
	}
	e := u.view.Table.Lookup(keyspace, c.Hash)
	if e == nil {
		return runningRequest{}, false
	}
	if _, stops := u.stopping[e.Unit]; stops {
		return runningRequest{}, false
	}
	r := runningRequest{key: key{keyspace, c.Hash}, admittedUnder: u.revisions(), unit: e.Unit}
	u.running[r.key]++
	u.admitted[r.admittedUnder]++
	return r, true
}

// revisions returns the revisions of the newest view. The caller must hold mu.
func (u *units) revisions() revisions {
	return revisions{table: u.view.Table.Revision(), config: u.view.ConfigRevision}
}

// leave ends a request that was counted by enter. It reports whether a unit may be
// released now.
func (u *units) leave(r runningRequest) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.admitted[r.admittedUnder]--; u.admitted[r.admittedUnder] == 0 {
		delete(u.admitted, r.admittedUnder)
	}
	if u.running[r.key]--; u.running[r.key] > 0 {
		return false
	}
	delete(u.running, r.key)
	return len(u.stopping) > 0
}

// oldest returns the lowest revisions under which a running request was admitted.
// A revision is 0 if all running requests were admitted under the newest one.
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

// applyView applies a new view. It reports whether a unit may be released.
func (u *units) applyView(v *member.View) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	unchanged := v.Table == u.view.Table
	u.view = v
	if unchanged {
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

// released returns the stopping units without a running request.
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

// total returns the number of requests to sharded services that count as running.
func (u *units) total() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := 0
	for _, r := range u.running {
		n += r
	}
	return n
}
