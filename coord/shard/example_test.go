package shard_test

import (
	"fmt"

	"bramleyquay.example/coord/shard"
)

func ExampleIndex() {
	hash := shard.Hash("seat-17")
	unit := shard.Unit{Service: "catalogue", Shard: shard.Index(hash, 32)}
	parsed, err := shard.Parse(unit.String())
	fmt.Println(parsed == unit, err, unit.IsSplit())
	// Output: true <nil> false
}
