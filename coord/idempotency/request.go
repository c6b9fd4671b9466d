package idempotency

import (
	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

// Member is a holder of records.
type Member struct {
	ID table.MemberID
	// DataCentre decides whether a copy survives the loss of the owner's.
	DataCentre string
}

// Request is a request with an idempotency key.
type Request struct {
	// ID is unique among the requests of this process.
	ID     uint64
	Unit   shard.Unit
	Key    string
	Digest [32]byte
	// IssuedAtMs is when the caller first issued the request, in Unix ms; zero
	// if the caller does not say.
	IssuedAtMs int64
	// Deadline is when the caller stops waiting.
	Deadline clock.Reading
}

// passed reports whether deadline is reached on either clock.
func passed(now, deadline clock.Reading) bool {
	return now.Mono >= deadline.Mono || now.Wall >= deadline.Wall
}

func wallMs(now clock.Reading) int64 { return now.Wall.Milliseconds() }
