package hotkey_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/hotkey"
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

const (
	numRanks   = 100_000
	numHot     = 500 // ranks that the simulation tracks key by key
	numChanged = 93  // hottest ranks that get other keys
	stepLength = 4 * time.Second
)

// workload simulates a Zipf-distributed load on members that own equal numbers of
// shards at first, and carries out the planner's decisions.
type workload struct {
	rng        *rand.Rand
	members    int
	shards     uint32
	rates      []float64      // by rank
	hotKeys    []uint64       // key hash by rank
	otherLoad  []float64      // load of the other ranks by shard
	shardOwner []int          // member by shard
	split      map[uint64]int // member by key hash
	planner    *hotkey.Planner
	now        time.Duration
	moves      int
	mean       float64 // load per member
}

func newWorkload(members int, exponent float64) *workload {
	l := &workload{
		rng: rand.New(rand.NewPCG(uint64(members), 7)), members: members, shards: uint32(members * 20),
		rates: make([]float64, numRanks), hotKeys: make([]uint64, numHot), otherLoad: make([]float64, members*20), shardOwner: make([]int, members*20),
		split: map[uint64]int{}, planner: hotkey.NewPlanner(hotkey.DefaultConfig()),
	}
	var sum float64
	for rank := range l.rates {
		l.rates[rank] = math.Pow(float64(rank+1), -exponent)
		sum += l.rates[rank]
	}
	l.mean = 5000
	for rank := range l.rates {
		l.rates[rank] *= l.mean * float64(members) / sum
		if rank >= numHot {
			l.otherLoad[l.shardOf(shard.Hash(fmt.Sprint("cold", rank)))] += l.rates[rank]
		}
	}
	for s := range l.shardOwner {
		l.shardOwner[s] = s % members
	}
	for rank := range l.hotKeys {
		l.hotKeys[rank] = shard.Hash(fmt.Sprint("hot", rank))
	}
	return l
}

func (l *workload) shardOf(hash uint64) uint32 { return shard.IndexForHash(hash, l.shards) }

func (l *workload) owner(hash uint64) int {
	if m, ok := l.split[hash]; ok {
		return m
	}
	return l.shardOwner[l.shardOf(hash)]
}

// changeHot replaces the keys of the hottest ranks.
func (l *workload) changeHot() {
	for rank := range numChanged {
		l.hotKeys[rank] = l.rng.Uint64() | 1
	}
}

// loads returns the exact load of each member.
func (l *workload) loads() []float64 {
	loads := make([]float64, l.members)
	for s, m := range l.shardOwner {
		loads[m] += l.otherLoad[s]
	}
	for rank, hash := range l.hotKeys {
		loads[l.owner(hash)] += l.rates[rank]
	}
	return loads
}

func (l *workload) imbalance() float64 {
	var largest float64
	for _, v := range l.loads() {
		largest = max(largest, v)
	}
	return largest / l.mean
}

// withNoise returns a rate as it would be counted during one step: with the noise of
// random arrivals.
func (l *workload) withNoise(rate float64) float64 {
	seconds := stepLength.Seconds()
	return max(rate+l.rng.NormFloat64()*math.Sqrt(rate/seconds), 0)
}

// step passes one noisy measurement to the planner and applies its decisions.
func (l *workload) step() {
	l.now += stepLength
	var keys []hotkey.KeyLoad
	for rank, hash := range l.hotKeys {
		keys = append(keys, hotkey.KeyLoad{
			Keyspace: "catalogue", Shard: l.shardOf(hash), Hash: hash,
			Rate: l.withNoise(l.rates[rank]), Owner: memberID(l.owner(hash)),
		})
	}
	shardRates := append([]float64(nil), l.otherLoad...)
	for rank, hash := range l.hotKeys {
		if _, ok := l.split[hash]; !ok {
			shardRates[l.shardOf(hash)] += l.rates[rank]
		}
	}
	for s, rate := range shardRates {
		keys = append(keys, hotkey.KeyLoad{
			Keyspace: "catalogue", Shard: uint32(s), Rate: l.withNoise(rate), Owner: memberID(l.shardOwner[s]),
		})
	}
	var members []hotkey.MemberLoad
	for m, rate := range l.loads() {
		members = append(members, hotkey.MemberLoad{Member: memberID(m), Rate: l.withNoise(rate)})
	}
	var splits []hotkey.SplitKey
	for hash, m := range l.split {
		splits = append(splits, hotkey.SplitKey{Keyspace: "catalogue", Shard: l.shardOf(hash), Hash: hash, Owner: memberID(m)})
	}
	for _, d := range l.planner.Plan(clock.At(time.Hour+l.now), keys, members, splits) {
		l.moves++
		if d.Kind == hotkey.Merge {
			delete(l.split, d.Hash)
			continue
		}
		var to int
		if _, err := fmt.Sscanf(string(d.To), "m%d", &to); err != nil {
			panic(err)
		}
		if d.Hash == 0 {
			l.shardOwner[d.Shard] = to
		} else {
			l.split[d.Hash] = to
		}
	}
}

func (l *workload) run(d time.Duration) {
	for end := l.now + d; l.now < end; {
		l.step()
	}
}

func memberID(m int) table.MemberID { return table.MemberID(fmt.Sprintf("m%03d", m)) }
