package shard_test

import (
	"fmt"

	"bramleyquay.example/coord/shard"
)

func ExampleIndexForHash() {
	hash := shard.Hash("seat-17")
	unit := shard.Unit{Keyspace: "catalogue", Shard: shard.IndexForHash(hash, 32)}
	parsed, err := shard.Parse(unit.String())
	fmt.Println(parsed == unit, err, unit.IsSplit())
	// Output: true <nil> false
}
