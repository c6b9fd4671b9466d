// Package shard maps keys to units of ownership in the mode with hashed shards
// (package control).
package shard

import "fmt"

// Unit is the unit of ownership: one shard of a key space, which is a range of key
// hashes, or one hot key split out of its shard. It is comparable and can be used
// as a map key.
type Unit struct {
	Keyspace string `json:"service" cbor:"1,keyasint"`
	// Shard is the shard's index; for a split key, that of the shard that it was
	// split out of.
	Shard uint32 `json:"shard" cbor:"2,keyasint"`
	// KeyHash is the hash of a split key; zero for a whole shard.
	KeyHash uint64 `json:"key,omitempty" cbor:"3,keyasint,omitempty"`
}

// IsSplit reports whether u is a key split out of its shard.
func (u Unit) IsSplit() bool { return u.KeyHash != 0 }

// String returns keyspace/shard, or keyspace/shard/hash for a split key, with the
// shard in decimal and the hash in hexadecimal.
func (u Unit) String() string {
	if u.IsSplit() {
		return fmt.Sprintf("%s/%d/%016x", u.Keyspace, u.Shard, u.KeyHash)
	}
	return fmt.Sprintf("%s/%d", u.Keyspace, u.Shard)
}
