package hotkey

import (
	"cmp"
	"slices"
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/table"
)

type keyID struct {
	keyspace string
	shard    uint32
	hash     uint64
}

// whole reports whether id is a whole shard.
func (id keyID) whole() bool { return id.hash == 0 }

type keyState struct {
	id      keyID
	rate    average
	owner   table.MemberID
	split   bool
	seen    bool
	movedAt clock.Reading
	// coldSince is when a split key's rate fell below the merge bound.
	coldSince clock.Reading
}

type memberState struct {
	id   table.MemberID
	load average
	seen bool
	// stuck means that no move from this member helps in the current plan.
	stuck bool
}

// Planner decides about hot keys. It works on smoothed loads and remembers
// when it moved a key.
type Planner struct {
	cfg     Config
	keys    map[keyID]*keyState
	members map[table.MemberID]*memberState
	budget  float64
	last    clock.Reading
	acted   clock.Reading
}

// NewPlanner returns a planner without history.
func NewPlanner(cfg Config) *Planner {
	return &Planner{
		cfg: cfg, budget: cfg.MovesPerMinute,
		keys: map[keyID]*keyState{}, members: map[table.MemberID]*memberState{},
	}
}

// Plan takes the current loads and returns changes to carry out. Keys that
// are not listed have no load worth mentioning. The caller passes what is
// true now: a decision that was not carried out is simply planned again.
func (p *Planner) Plan(now clock.Reading, keys []KeyLoad, members []MemberLoad, splits []SplitKey) []Decision {
	dt := time.Duration(0)
	if !p.last.IsZero() {
		dt = now.MonoSince(p.last)
	}
	p.last = now
	p.budget = min(p.budget+p.cfg.MovesPerMinute*dt.Minutes(), p.cfg.MovesPerMinute)
	p.observeMembers(members, dt)
	p.observeKeys(keys, splits, dt)
	if len(p.members) < 2 || (!p.acted.IsZero() && now.MonoSince(p.acted) < p.cfg.PlanCooldown) {
		return nil
	}
	mean := p.mean()
	if mean <= 0 {
		return nil
	}
	decisions := p.balance(now, mean)
	decisions = append(decisions, p.merge(now, mean)...)
	if len(decisions) > 0 {
		p.acted = now
	}
	return decisions
}

func (p *Planner) observeMembers(members []MemberLoad, dt time.Duration) {
	for _, m := range p.members {
		m.seen, m.stuck = false, false
	}
	for _, l := range members {
		m := p.members[l.Member]
		if m == nil {
			m = &memberState{id: l.Member}
			p.members[l.Member] = m
		}
		m.seen = true
		m.load.add(l.Rate, dt, p.cfg.Smoothing)
	}
	for id, m := range p.members {
		if !m.seen {
			delete(p.members, id)
		}
	}
}

func (p *Planner) observeKeys(keys []KeyLoad, splits []SplitKey, dt time.Duration) {
	for _, k := range p.keys {
		k.seen, k.split = false, false
	}
	for _, l := range keys {
		k := p.key(keyID{l.Keyspace, l.Shard, l.Hash})
		k.seen, k.owner = true, l.Owner
		k.rate.add(l.Rate, dt, p.cfg.Smoothing)
	}
	for _, s := range splits {
		k := p.key(keyID{s.Keyspace, s.Shard, s.Hash})
		k.split, k.owner = true, s.Owner
	}
	for id, k := range p.keys {
		switch {
		case k.seen:
		case k.split:
			k.rate.add(0, dt, p.cfg.Smoothing)
		default:
			delete(p.keys, id)
		}
	}
}

func (p *Planner) key(id keyID) *keyState {
	k := p.keys[id]
	if k == nil {
		k = &keyState{id: id}
		p.keys[id] = k
	}
	return k
}

func (p *Planner) mean() float64 {
	var sum float64
	for _, m := range p.sortedMembers() {
		sum += m.load.value
	}
	return sum / float64(len(p.members))
}

// sortedMembers returns the members by load, highest first.
func (p *Planner) sortedMembers() []*memberState {
	list := make([]*memberState, 0, len(p.members))
	for _, m := range p.members {
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b *memberState) int {
		return cmp.Or(cmp.Compare(b.load.value, a.load.value), cmp.Compare(a.id, b.id))
	})
	return list
}

// sortedKeys returns the keys by rate, highest first.
func (p *Planner) sortedKeys() []*keyState {
	list := make([]*keyState, 0, len(p.keys))
	for _, k := range p.keys {
		list = append(list, k)
	}
	slices.SortFunc(list, func(a, b *keyState) int {
		return cmp.Or(cmp.Compare(b.rate.value, a.rate.value),
			cmp.Compare(a.id.keyspace, b.id.keyspace),
			cmp.Compare(a.id.shard, b.id.shard), cmp.Compare(a.id.hash, b.id.hash))
	})
	return list
}
