package hotkey

import "bramleyquay.example/coord/table"

// KeyLoad is the load of one hot key or of one whole shard. Shards are
// optional: without them the planner cannot move shards away from a member
// whose hottest key alone reaches the mean load.
type KeyLoad struct {
	Keyspace string
	// Shard is the shard that the key belongs to.
	Shard uint32
	// Hash is the hash of the key; zero for a whole shard.
	Hash uint64
	// Rate is in requests per second. That of a shard includes all keys that are not
	// split out of it.
	Rate float64
	// Owner is the member that serves the key now, as a split key or as part of its
	// shard.
	Owner table.MemberID
}

// MemberLoad is the total load of one member, including hot keys.
type MemberLoad struct {
	Member table.MemberID
	// Rate is in requests per second.
	Rate float64
}

// SplitKey is a key that is a unit of its own.
type SplitKey struct {
	Keyspace string
	Shard    uint32
	Hash     uint64
	Owner    table.MemberID
}

// Kind is what a Decision does.
type Kind uint8

const (
	// Split makes a key a unit of its own. To is the proposed owner; package
	// control does not use it.
	Split Kind = iota + 1
	// Move moves a split key, or a whole shard if Hash is zero, to To. Package
	// control ignores it.
	Move
	// Merge returns a split key to its shard.
	Merge
)

// String returns the kind's name.
func (k Kind) String() string {
	switch k {
	case Split:
		return "split"
	case Move:
		return "move"
	case Merge:
		return "merge"
	default:
		return "invalid"
	}
}

// Decision is one change of the ownership of a key, or of a shard if Hash is
// zero. From is the present owner. To is empty for Merge: the owner of the
// shard gets the key.
type Decision struct {
	Kind     Kind
	Keyspace string
	Shard    uint32
	Hash     uint64
	From, To table.MemberID
	// Rate is the load that moves, in requests per second.
	Rate float64
}
