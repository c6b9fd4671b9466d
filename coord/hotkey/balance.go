package hotkey

import (
	"slices"

	"bramleyquay.example/coord/clock"
)

// balance moves keys from the most loaded members to the least loaded ones,
// the best move first, until the largest load is below OverloadStopThreshold or no move helps.
func (p *Planner) balance(now clock.Reading, mean float64) []Decision {
	members := p.sortedMembers()
	if members[0].load.value <= p.cfg.OverloadThreshold*mean {
		return nil
	}
	keys := p.sortedKeys()
	var decisions []Decision
	for p.budget >= 1 {
		members = p.sortedMembers()
		i := slices.IndexFunc(members, func(m *memberState) bool { return !m.stuck })
		if i < 0 || members[i].load.value <= p.cfg.OverloadStopThreshold*mean {
			break
		}
		from, to := members[i], members[len(members)-1]
		k := p.bestKey(now, keys, from, to, mean, false)
		if k == nil {
			k = p.bestKey(now, keys, from, to, mean, true)
		}
		if k == nil {
			// The member's hottest key may exceed the mean; the others can
			// still be balanced.
			from.stuck = true
			continue
		}
		decisions = append(decisions, p.move(now, k, from, to))
	}
	return decisions
}

// bestKey returns the key, or the whole shard, whose move lowers the larger of
// the two loads most.
func (p *Planner) bestKey(now clock.Reading, keys []*keyState, from, to *memberState, mean float64, whole bool) *keyState {
	var best *keyState
	gain := p.cfg.MinGainShare * mean
	for _, k := range keys {
		r := k.rate.value
		if r < p.cfg.MinKeyShare*mean {
			break
		}
		if k.id.whole() != whole || k.owner != from.id || p.dwells(now, k) {
			continue
		}
		after := max(from.load.value-r, to.load.value+r)
		if g := from.load.value - after; g > gain {
			best, gain = k, g
		}
	}
	return best
}

// dwells reports whether k was moved recently.
func (p *Planner) dwells(now clock.Reading, k *keyState) bool {
	return !k.movedAt.IsZero() && now.MonoSince(k.movedAt) < p.cfg.MoveCooldown
}

// move plans a move and applies it to the smoothed loads, which would follow
// the real ones too slowly for the rest of this plan and the next.
func (p *Planner) move(now clock.Reading, k *keyState, from, to *memberState) Decision {
	p.budget--
	kind := Split
	switch {
	case k.id.whole():
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
	k.owner, k.split, k.movedAt = to.id, !k.id.whole(), now
	return Decision{
		Kind: kind, Keyspace: k.id.keyspace, Shard: k.id.shard, Hash: k.id.hash,
		From: from.id, To: to.id, Rate: k.rate.value,
	}
}

// moveKeysOf notes that the keys of a shard move with it, except split ones.
func (p *Planner) moveKeysOf(id keyID, to *memberState) {
	for _, k := range p.keys {
		if k.id.keyspace == id.keyspace && k.id.shard == id.shard && !k.id.whole() && !k.split {
			k.owner = to.id
		}
	}
}

// merge returns split keys to their shards that have been cold for long.
func (p *Planner) merge(now clock.Reading, mean float64) []Decision {
	var decisions []Decision
	for _, k := range p.sortedKeys() {
		if !k.split || k.rate.value > p.cfg.MergeBelowShare*mean {
			k.coldSince = clock.Reading{}
			continue
		}
		if k.coldSince.IsZero() {
			k.coldSince = now
		}
		if p.budget < 1 || now.MonoSince(k.coldSince) < p.cfg.MergeAfter || p.dwells(now, k) {
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
