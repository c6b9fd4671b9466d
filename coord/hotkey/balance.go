package hotkey

import (
	"slices"

	"bramleyquay.example/coord/clock"
)

// balance plans moves from the most loaded members to the least loaded one,
// once the largest load exceeds OverloadThreshold times the mean. It continues
// with the best move of the most loaded member, a key before a shard, until the
// largest load is at most OverloadStopThreshold times the mean, the budget is
// used up, or no move lowers the largest load.
func (p *Planner) balance(now clock.Reading, mean float64) []Decision {
	members := p.sortedMembers()
	if members[0].load.value <= p.cfg.OverloadThreshold*mean {
		return nil
	}
	keys := p.sortedKeys()
	var decisions []Decision
	for p.budget >= 1 {
		members = p.sortedMembers()
		i := slices.IndexFunc(members, func(m *memberState) bool { return !m.exhausted })
		if i < 0 || members[i].load.value <= p.cfg.OverloadStopThreshold*mean {
			break
		}
		from, to := members[i], members[len(members)-1]
		k := p.bestKey(now, keys, from, to, mean, false)
		if k == nil {
			k = p.bestKey(now, keys, from, to, mean, true)
		}
		if k == nil {
			// The member's hottest key may exceed the mean; the other members can still
			// be balanced.
			from.exhausted = true
			continue
		}
		decisions = append(decisions, p.move(now, k, from, to))
	}
	return decisions
}

// bestKey returns the key, or the shard if shards is set, whose move from one
// member to the other lowers the larger of their loads most. Keys below
// MinKeyShare of the mean and keys within MoveCooldown are skipped. It returns
// nil if no move lowers the load by more than MinGainShare of the mean.
func (p *Planner) bestKey(now clock.Reading, keys []*keyState, from, to *memberState, mean float64, shards bool) *keyState {
	var best *keyState
	gain := p.cfg.MinGainShare * mean
	for _, k := range keys {
		r := k.rate.value
		if r < p.cfg.MinKeyShare*mean {
			break
		}
		if k.id.isShard() != shards || k.owner != from.id || p.inCooldown(now, k) {
			continue
		}
		after := max(from.load.value-r, to.load.value+r)
		if g := from.load.value - after; g > gain {
			best, gain = k, g
		}
	}
	return best
}

// inCooldown reports whether k was moved within MoveCooldown.
func (p *Planner) inCooldown(now clock.Reading, k *keyState) bool {
	return !k.movedAt.IsZero() && now.MonoSince(k.movedAt) < p.cfg.MoveCooldown
}

// move returns the decision to move k, and applies it to the smoothed loads: they
// would change too slowly for the rest of this plan and the next.
func (p *Planner) move(now clock.Reading, k *keyState, from, to *memberState) Decision {
	p.budget--
	kind := Split
	switch {
	case k.id.isShard():
		kind = Move
		p.moveKeysOf(k.id, to)
	case k.split:
		kind = Move
	default:
		if s := p.keys[keyID{k.id.keyspace, k.id.shard, 0}]; s != nil {
			s.rate.value -= k.rate.value
		}
	}
	from.load.value -= k.rate.value
	to.load.value += k.rate.value
	k.owner, k.split, k.movedAt = to.id, !k.id.isShard(), now
	return Decision{
		Kind: kind, Keyspace: k.id.keyspace, Shard: k.id.shard, Hash: k.id.hash,
		From: from.id, To: to.id, Rate: k.rate.value,
	}
}

// moveKeysOf sets the owner of the keys of a shard, which move with it, except
// split keys.
func (p *Planner) moveKeysOf(id keyID, to *memberState) {
	for _, k := range p.keys {
		if k.id.keyspace == id.keyspace && k.id.shard == id.shard && !k.id.isShard() && !k.split {
			k.owner = to.id
		}
	}
}

// merge plans to merge split keys into their shards if their rate has been at
// or below MergeBelowShare of the mean for MergeAfter.
func (p *Planner) merge(now clock.Reading, mean float64) []Decision {
	var decisions []Decision
	for _, k := range p.sortedKeys() {
		if !k.split || k.rate.value > p.cfg.MergeBelowShare*mean {
			k.belowSince = clock.Reading{}
			continue
		}
		if k.belowSince.IsZero() {
			k.belowSince = now
		}
		if p.budget < 1 || now.MonoSince(k.belowSince) < p.cfg.MergeAfter || p.inCooldown(now, k) {
			continue
		}
		p.budget--
		k.movedAt = now
		decisions = append(decisions, Decision{
			Kind: Merge, Keyspace: k.id.keyspace, Shard: k.id.shard, Hash: k.id.hash, From: k.owner, Rate: k.rate.value,
		})
	}
	return decisions
}
