package store_test

import (
	"fmt"
	"os"

	"bramleyquay.example/coord/raft"
	"bramleyquay.example/router/store"
)

// The first start writes the bootstrap state. Later starts read it.
func Example() {
	dir, err := os.MkdirTemp("", "store")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)

	s, stored, empty, err := store.Open(store.DirFS(dir))
	if err != nil {
		panic(err)
	}
	if empty {
		stored = raft.Bootstrap([]raft.ID{"n1", "n2", "n3"})
		if err := s.SaveSnapshot(stored.Snapshot); err != nil {
			panic(err)
		}
		if err := s.Save(&stored.HardState, nil); err != nil {
			panic(err)
		}
	}
	if err := s.Close(); err != nil {
		panic(err)
	}

	_, stored, empty, err = store.Open(store.DirFS(dir))
	fmt.Println(empty, stored.HardState.Term, stored.Snapshot.Membership.Voters, err)
	// Output: false 1 [n1 n2 n3] <nil>
}
