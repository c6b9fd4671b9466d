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
	loadKeys    = 100_000
	loadHot     = 500 // ranks whose load is computed one by one
	loadChanged = 93  // hottest ranks that change
	loadStep    = 4 * time.Second
)

// load is a Zipf-distributed load on members that own equal numbers of shards.
type load struct {
	rng     *rand.Rand
	members int
	shards  uint32
	rates   []float64 // by rank
	hot     []uint64  // key hash by rank
	base    []float64 // load of the other ranks by shard
	placed  []int     // member by shard
	split   map[uint64]int
	planner *hotkey.Planner
	now     time.Duration
	moves   int
	mean    float64
}

func newLoad(members int, exponent float64) *load {
	l := &load{
		rng: rand.New(rand.NewPCG(uint64(members), 7)), members: members, shards: uint32(members * 20),
		rates: make([]float64, loadKeys), hot: make([]uint64, loadHot), base: make([]float64, members*20), placed: make([]int, members*20),
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
		if rank >= loadHot {
			l.base[l.shardOf(shard.Hash(fmt.Sprint("cold", rank)))] += l.rates[rank]
		}
	}
	for s := range l.placed {
		l.placed[s] = s % members
	}
	for rank := range l.hot {
		l.hot[rank] = shard.Hash(fmt.Sprint("hot", rank))
	}
	return l
}

func (l *load) shardOf(hash uint64) uint32 { return shard.IndexForHash(hash, l.shards) }

func (l *load) owner(hash uint64) int {
	if m, ok := l.split[hash]; ok {
		return m
	}
	return l.placed[l.shardOf(hash)]
}

// changeHot replaces the hottest keys.
func (l *load) changeHot() {
	for rank := range loadChanged {
		l.hot[rank] = l.rng.Uint64() | 1
	}
}

// loads returns the exact load of each member.
func (l *load) loads() []float64 {
	loads := make([]float64, l.members)
	for s, m := range l.placed {
		loads[m] += l.base[s]
	}
	for rank, hash := range l.hot {
		loads[l.owner(hash)] += l.rates[rank]
	}
	return loads
}

func (l *load) imbalance() float64 {
	var largest float64
	for _, v := range l.loads() {
		largest = max(largest, v)
	}
	return largest / l.mean
}

// noisy returns a rate as counted during one step.
func (l *load) noisy(rate float64) float64 {
	seconds := loadStep.Seconds()
	return max(rate+l.rng.NormFloat64()*math.Sqrt(rate/seconds), 0)
}

// step lets the planner act on one noisy measurement.
func (l *load) step() {
	l.now += loadStep
	var keys []hotkey.KeyLoad
	for rank, hash := range l.hot {
		keys = append(keys, hotkey.KeyLoad{
			Keyspace: "catalogue", Shard: l.shardOf(hash), Hash: hash,
			Rate: l.noisy(l.rates[rank]), Owner: memberID(l.owner(hash)),
		})
	}
	whole := append([]float64(nil), l.base...)
	for rank, hash := range l.hot {
		if _, ok := l.split[hash]; !ok {
			whole[l.shardOf(hash)] += l.rates[rank]
		}
	}
	for s, rate := range whole {
		keys = append(keys, hotkey.KeyLoad{
			Keyspace: "catalogue", Shard: uint32(s), Rate: l.noisy(rate), Owner: memberID(l.placed[s]),
		})
	}
	var members []hotkey.MemberLoad
	for m, rate := range l.loads() {
		members = append(members, hotkey.MemberLoad{Member: memberID(m), Rate: l.noisy(rate)})
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
			l.placed[d.Shard] = to
		} else {
			l.split[d.Hash] = to
		}
	}
}

func (l *load) run(d time.Duration) {
	for end := l.now + d; l.now < end; {
		l.step()
	}
}

func memberID(m int) table.MemberID { return table.MemberID(fmt.Sprintf("m%03d", m)) }
