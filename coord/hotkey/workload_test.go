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
	numChanged = 93  // hottest ranks that get other keys: the number of hot keys in the stated workload
	stepLength = 4 * time.Second
)

// workload simulates a Zipf-distributed load on members that own equal numbers of
// shards at first, and carries out the planner's decisions.
type workload struct {
	rng        *rand.Rand
	members    int
	shards     uint32
	rates      []float64      // requests per second, by rank
	hotKeys    []uint64       // key hash by rank
	otherLoad  []float64      // requests per second for the other ranks, by shard
	shardOwner []int          // member by shard
	split      map[uint64]int // member by key hash
	planner    *hotkey.Planner
	now        time.Duration
	moves      int
	mean       float64 // requests per second for each member
}

func newWorkload(members int, exponent float64) *workload {
	w := &workload{
		rng: rand.New(rand.NewPCG(uint64(members), 7)), members: members, shards: uint32(members * 20),
		rates: make([]float64, numRanks), hotKeys: make([]uint64, numHot), otherLoad: make([]float64, members*20), shardOwner: make([]int, members*20),
		split: map[uint64]int{}, planner: hotkey.NewPlanner(hotkey.DefaultConfig()),
	}
	var sum float64
	for rank := range w.rates {
		w.rates[rank] = math.Pow(float64(rank+1), -exponent)
		sum += w.rates[rank]
	}
	w.mean = 5000
	for rank := range w.rates {
		w.rates[rank] *= w.mean * float64(members) / sum
		if rank >= numHot {
			w.otherLoad[w.shardOf(shard.Hash(fmt.Sprint("cold", rank)))] += w.rates[rank]
		}
	}
	for s := range w.shardOwner {
		w.shardOwner[s] = s % members
	}
	for rank := range w.hotKeys {
		w.hotKeys[rank] = shard.Hash(fmt.Sprint("hot", rank))
	}
	return w
}

func (w *workload) shardOf(hash uint64) uint32 { return shard.IndexForHash(hash, w.shards) }

func (w *workload) owner(hash uint64) int {
	if m, ok := w.split[hash]; ok {
		return m
	}
	return w.shardOwner[w.shardOf(hash)]
}

// changeHot replaces the keys of the hottest ranks.
func (w *workload) changeHot() {
	for rank := range numChanged {
		w.hotKeys[rank] = w.rng.Uint64() | 1
	}
}

// loads returns the exact load of each member.
func (w *workload) loads() []float64 {
	loads := make([]float64, w.members)
	for s, m := range w.shardOwner {
		loads[m] += w.otherLoad[s]
	}
	for rank, hash := range w.hotKeys {
		loads[w.owner(hash)] += w.rates[rank]
	}
	return loads
}

func (w *workload) imbalance() float64 {
	var largest float64
	for _, v := range w.loads() {
		largest = max(largest, v)
	}
	return largest / w.mean
}

// withNoise returns a rate as it would be counted during one step: with the noise of
// random arrivals.
func (w *workload) withNoise(rate float64) float64 {
	seconds := stepLength.Seconds()
	return max(rate+w.rng.NormFloat64()*math.Sqrt(rate/seconds), 0)
}

// step passes one noisy measurement to the planner and applies its decisions.
func (w *workload) step() {
	w.now += stepLength
	var keys []hotkey.KeyLoad
	for rank, hash := range w.hotKeys {
		keys = append(keys, hotkey.KeyLoad{
			Keyspace: "catalogue", Shard: w.shardOf(hash), Hash: hash,
			Rate: w.withNoise(w.rates[rank]), Owner: memberID(w.owner(hash)),
		})
	}
	shardRates := append([]float64(nil), w.otherLoad...)
	for rank, hash := range w.hotKeys {
		if _, ok := w.split[hash]; !ok {
			shardRates[w.shardOf(hash)] += w.rates[rank]
		}
	}
	for s, rate := range shardRates {
		keys = append(keys, hotkey.KeyLoad{
			Keyspace: "catalogue", Shard: uint32(s), Rate: w.withNoise(rate), Owner: memberID(w.shardOwner[s]),
		})
	}
	var members []hotkey.MemberLoad
	for m, rate := range w.loads() {
		members = append(members, hotkey.MemberLoad{Member: memberID(m), Rate: w.withNoise(rate)})
	}
	var splits []hotkey.SplitKey
	for hash, m := range w.split {
		splits = append(splits, hotkey.SplitKey{Keyspace: "catalogue", Shard: w.shardOf(hash), Hash: hash, Owner: memberID(m)})
	}
	for _, d := range w.planner.Plan(clock.At(time.Hour+w.now), keys, members, splits) {
		w.moves++
		if d.Kind == hotkey.Merge {
			delete(w.split, d.Hash)
			continue
		}
		var to int
		if _, err := fmt.Sscanf(string(d.To), "m%d", &to); err != nil {
			panic(err)
		}
		if d.Hash == 0 {
			w.shardOwner[d.Shard] = to
		} else {
			w.split[d.Hash] = to
		}
	}
}

func (w *workload) run(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.step()
	}
}

func memberID(m int) table.MemberID { return table.MemberID(fmt.Sprintf("m%03d", m)) }
