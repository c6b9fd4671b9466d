package idempotency

import (
	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

// Member is a cluster member that stores idempotency records.
type Member struct {
	ID table.MemberID
	// DataCentre is the member's data centre. A copy in another data centre than
	// the owner's survives the loss of the owner's.
	DataCentre string
}

// Request is a request with an idempotency key.
type Request struct {
	// ID is unique among the requests of this process.
	ID   uint64
	Unit shard.Unit
	Key  string
	// Digest is a hash of everything that a retry must repeat, such as method,
	// path and body.
	Digest [32]byte
	// IssuedAtMs is when the caller first issued the request, in Unix ms by the
	// caller's clock; zero if the request does not contain it.
	IssuedAtMs int64
	// Deadline is when the caller stops waiting; zero selects 30 s after Begin.
	Deadline clock.Reading
}

// passed reports whether deadline is reached by the monotonic or the wall clock.
func passed(now, deadline clock.Reading) bool {
	return now.Mono >= deadline.Mono || now.Wall >= deadline.Wall
}

func wallMs(now clock.Reading) int64 { return now.Wall.Milliseconds() }
