package idempotency

import (
	"slices"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/shard"
)

// Owner keeps the records of the units that this member owns and decides
// which requests are dispatched.
type Owner struct {
	cfg   Config
	units map[shard.Unit]*ownedUnit
	// order lists units in the order of compareUnits, so that the same inputs
	// give the same actions.
	order   []*ownedUnit
	sweep   int
	calls   map[uint64]*call
	timers  timers
	pending pendingWrites
	seq     uint64
	// memory is the bytes of all records at the last tick and of those that
	// were started since.
	memory int64
	now    clock.Reading
	out    []Action
}

// ownedUnit is a unit at its owner.
type ownedUnit struct {
	unit  shard.Unit
	epoch uint64
	// store is nil while the records are being read from a copy.
	store    *store
	recovery *recovery
	peers    []*peer
	runs     map[string]*run
	runOrder []*run
	// waiting are requests that arrived before the records.
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

// begin starts the handling of one event.
func (o *Owner) begin(now clock.Reading) { o.now, o.out = now, nil }

func (o *Owner) emit(a Action) { o.out = append(o.out, a) }

func (o *Owner) nextSeq() uint64 {
	o.seq++
	return o.seq
}

// countMemory sets memory to the bytes of all records.
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

// Tick handles the passing of time. It must be called at least every few
// milliseconds while requests are in progress: deadlines, repeated messages
// and the removal of expired records depend on it.
func (o *Owner) Tick(now clock.Reading) []Action {
	o.begin(now)
	o.expireCalls()
	o.repeatWrites()
	for _, u := range o.order {
		o.repeatFetch(u)
		o.tickPeers(u)
	}
	o.expireRecords()
	o.countMemory()
	return o.out
}

// expireRecords removes old records of some units, in turn.
func (o *Owner) expireRecords() {
	for range min(sweepUnits, len(o.order)) {
		o.sweep = (o.sweep + 1) % len(o.order)
		u := o.order[o.sweep]
		if u.store != nil {
			u.store.expire(wallMs(o.now), o.cfg.MaxClockSkew, sweepRecords, func(key string) bool {
				return u.runs[key] != nil
			})
		}
	}
}
