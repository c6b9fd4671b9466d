package shard

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// Hash returns the 64-bit XXH64 hash of a key. All processes must use the same
// hash, because it decides which unit a key belongs to. It is never zero, because
// zero marks a unit that is a whole shard.
func Hash(key string) uint64 {
	h := xxhash.Sum64String(key)
	if h == 0 {
		return 1
	}
	return h
}

// IndexForHash returns the index of the shard that hash belongs to, from 0 to
// count-1. The shards divide the hashes into count ranges of equal size, and count
// must be positive.
func IndexForHash(hash uint64, count uint32) uint32 {
	hi, _ := bits.Mul64(hash, uint64(count))
	return uint32(hi)
}
