package idempotency

import (
	"slices"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/shard"
)

// Owner stores the records of the units that this member owns and decides which
// requests are dispatched. Its methods do not block; they return the actions
// that the process has to carry out.
type Owner struct {
	cfg   Config
	units map[shard.Unit]*ownedUnit
	// order lists the units in the order of compareUnits, so that the same inputs
	// give the same actions.
	order []*ownedUnit
	// sweep is the index in order of the last unit that expireRecords visited.
	sweep   int
	calls   map[uint64]*call
	timers  timers
	pending pendingWrites
	seq     uint64
	// memory is the size of all records in bytes: as counted at the last tick, plus
	// the records that were started since.
	memory  int64
	now     clock.Reading
	actions []Action
}

// ownedUnit is the state of one unit in an Owner.
type ownedUnit struct {
	unit  shard.Unit
	epoch uint64
	// store is nil while the records are being fetched from a copy.
	store          *store
	recovery       *recovery
	copies         []*copyProgress
	executions     map[string]*execution
	executionOrder []*execution
	// waiting are the requests that wait for the records.
	waiting []*call
}

// NewOwner returns an owner without units.
func NewOwner(cfg Config) *Owner {
	return &Owner{
		cfg:     cfg.withDefaults(),
		units:   map[shard.Unit]*ownedUnit{},
		calls:   map[uint64]*call{},
		pending: pendingWrites{bySeq: map[uint64]*pendingWrite{}},
	}
}

// startEvent starts the handling of one event at time now.
func (o *Owner) startEvent(now clock.Reading) { o.now, o.actions = now, nil }

func (o *Owner) emit(a Action) { o.actions = append(o.actions, a) }

func (o *Owner) nextSeq() uint64 {
	o.seq++
	return o.seq
}

// countMemory sets memory to the size of all records.
func (o *Owner) countMemory() {
	o.memory = 0
	for _, u := range o.order {
		if u.store != nil {
			o.memory += u.store.bytes
		}
	}
}

func (o *Owner) addUnit(u *ownedUnit) {
	o.units[u.unit] = u
	i, _ := slices.BinarySearchFunc(o.order, u.unit, func(e *ownedUnit, t shard.Unit) int {
		return compareUnits(e.unit, t)
	})
	o.order = slices.Insert(o.order, i, u)
}

func (o *Owner) removeUnit(u *ownedUnit) {
	delete(o.units, u.unit)
	o.order = slices.DeleteFunc(o.order, func(e *ownedUnit) bool { return e == u })
}

// Tick handles time-outs: deadlines, retries of messages and the removal of
// expired records. The deadlines of requests in progress are handled only here, so
// an answer that is due at a deadline, or ReplyMargin before it, is delayed by up
// to the interval between calls. router/gate calls it every 10 ms.
func (o *Owner) Tick(now clock.Reading) []Action {
	o.startEvent(now)
	o.expireCalls()
	o.retryWrites()
	for _, u := range o.order {
		o.retryFetch(u)
		o.repeatSyncReports(u)
	}
	o.expireRecords()
	o.countMemory()
	return o.actions
}

// expireRecords removes expired records of some units, in turn.
func (o *Owner) expireRecords() {
	for range min(sweepUnits, len(o.order)) {
		o.sweep = (o.sweep + 1) % len(o.order)
		u := o.order[o.sweep]
		if u.store != nil {
			u.store.expire(wallMs(o.now), o.cfg.MaxClockSkew, sweepRecords, func(key string) bool {
				return u.executions[key] != nil
			})
		}
	}
}
