package shard

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// Hash returns the 64-bit hash of a key. It is never zero, because zero marks
// a unit that is a whole shard.
func Hash(key string) uint64 {
	h := xxhash.Sum64String(key)
	if h == 0 {
		return 1
	}
	return h
}

// IndexForHash returns the shard of hash among count shards of equal hash ranges.
// Count must be positive.
func IndexForHash(hash uint64, count uint32) uint32 {
	hi, _ := bits.Mul64(hash, uint64(count))
	return uint32(hi)
}
