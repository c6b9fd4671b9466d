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

// isShard reports whether id is a whole shard.
func (id keyID) isShard() bool { return id.hash == 0 }

type keyState struct {
	id       keyID
	rate     average
	owner    table.MemberID
	split    bool
	reported bool
	movedAt  clock.Reading
	// belowSince is when a split key's rate fell to MergeBelowShare of the mean or
	// below.
	belowSince clock.Reading
}

type memberState struct {
	id       table.MemberID
	load     average
	reported bool
	// exhausted means that no move from this member lowers the largest load in the
	// current plan.
	exhausted bool
}

// Planner decides which keys are split, moved and merged. It uses smoothed loads
// and remembers when it moved a key.
type Planner struct {
	cfg        Config
	keys       map[keyID]*keyState
	members    map[table.MemberID]*memberState
	budget     float64 // changes that may be made now
	lastCall   clock.Reading
	lastChange clock.Reading // last call that returned decisions
}

// NewPlanner returns a planner without any loads or moves.
func NewPlanner(cfg Config) *Planner {
	return &Planner{
		cfg: cfg, budget: cfg.MovesPerMinute,
		keys: map[keyID]*keyState{}, members: map[table.MemberID]*memberState{},
	}
}

// Plan returns the changes to carry out, given the current loads and split
// keys. A split key without a listed load counts as having no load; other keys,
// and members, that are not listed are forgotten. The arguments describe the
// present state, whether or not earlier decisions were carried out: one that
// was not can be planned again after MoveCooldown.
func (p *Planner) Plan(now clock.Reading, keys []KeyLoad, members []MemberLoad, splits []SplitKey) []Decision {
	dt := time.Duration(0)
	if !p.lastCall.IsZero() {
		dt = now.MonoSince(p.lastCall)
	}
	p.lastCall = now
	p.budget = min(p.budget+p.cfg.MovesPerMinute*dt.Minutes(), p.cfg.MovesPerMinute)
	p.observeMembers(members, dt)
	p.observeKeys(keys, splits, dt)
	if len(p.members) < 2 || (!p.lastChange.IsZero() && now.MonoSince(p.lastChange) < p.cfg.PlanCooldown) {
		return nil
	}
	mean := p.mean()
	if mean <= 0 {
		return nil
	}
	decisions := p.balance(now, mean)
	decisions = append(decisions, p.merge(now, mean)...)
	if len(decisions) > 0 {
		p.lastChange = now
	}
	return decisions
}

func (p *Planner) observeMembers(members []MemberLoad, dt time.Duration) {
	for _, m := range p.members {
		m.reported, m.exhausted = false, false
	}
	for _, l := range members {
		m := p.members[l.Member]
		if m == nil {
			m = &memberState{id: l.Member}
			p.members[l.Member] = m
		}
		m.reported = true
		m.load.add(l.Rate, dt, p.cfg.Smoothing)
	}
	for id, m := range p.members {
		if !m.reported {
			delete(p.members, id)
		}
	}
}

func (p *Planner) observeKeys(keys []KeyLoad, splits []SplitKey, dt time.Duration) {
	for _, k := range p.keys {
		k.reported, k.split = false, false
	}
	for _, l := range keys {
		k := p.key(keyID{l.Keyspace, l.Shard, l.Hash})
		k.reported, k.owner = true, l.Owner
		k.rate.add(l.Rate, dt, p.cfg.Smoothing)
	}
	for _, s := range splits {
		k := p.key(keyID{s.Keyspace, s.Shard, s.Hash})
		k.split, k.owner = true, s.Owner
	}
	for id, k := range p.keys {
		switch {
		case k.reported:
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
