// Package shard maps keys to units of ownership.
package shard

import "fmt"

// Unit is what a member owns: one shard of a service's key hash, or one hot
// key split out of its shard. It is comparable and serves as a map key.
type Unit struct {
	Keyspace string `json:"service" cbor:"1,keyasint"`
	// Shard is the shard's index, or the shard a split key comes from.
	Shard uint32 `json:"shard" cbor:"2,keyasint"`
	// KeyHash is the hash of a split key; zero for a whole shard.
	KeyHash uint64 `json:"key,omitempty" cbor:"3,keyasint,omitempty"`
}

// IsSplit reports whether u is a single hot key.
func (u Unit) IsSplit() bool { return u.KeyHash != 0 }

// String returns service/shard or service/shard/key in hexadecimal.
func (u Unit) String() string {
	if u.IsSplit() {
		return fmt.Sprintf("%s/%d/%016x", u.Keyspace, u.Shard, u.KeyHash)
	}
	return fmt.Sprintf("%s/%d", u.Keyspace, u.Shard)
}
