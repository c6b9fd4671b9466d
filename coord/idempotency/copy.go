package idempotency

import (
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

// CopyConfig configures a CopyStore.
type CopyConfig struct {
	Self table.MemberID
	// Incarnation is a random number that identifies this start of the process.
	// It must not be zero: it distinguishes writes to this process from writes
	// to an earlier one with the same member id.
	Incarnation uint64
	// MaxBytes bounds the estimated memory of records, in bytes. A full copy
	// rejects writes with started records, so that requests of its units are
	// refused; it removes no unexpired records to make room.
	MaxBytes int64
	// PageBytes bounds the records in one reply to a fetch, in bytes. Larger
	// pages need fewer round trips and more memory for each message.
	PageBytes int64
	// MaxClockSkew is how long records are retained after their lifetime, because
	// the wall clocks of members differ.
	MaxClockSkew time.Duration
	// FenceLifetime is how long the fence of a unit without records is retained.
	// A stale message that is delayed for longer is not rejected.
	FenceLifetime time.Duration
}

func (c CopyConfig) withDefaults() CopyConfig {
	setDefault(&c.MaxBytes, DefaultMaxBytes)
	setDefault(&c.PageBytes, DefaultPageBytes)
	setDefault(&c.MaxClockSkew, DefaultMaxClockSkew)
	setDefault(&c.FenceLifetime, DefaultLifetime)
	return c
}

// CopyStore stores the records of units that other members own.
//
// It answers a fetch only for a unit whose records are complete. They are
// complete after Attach, or after a whole transfer: the unit's owner began it,
// received this process's incarnation in the reply, sent every record with that
// incarnation, and marked the last write. A process that restarts has a new
// incarnation and no units; a delayed write of an earlier transfer carries the
// old incarnation or belongs to no open transfer, and is rejected.
type CopyStore struct {
	cfg   CopyConfig
	units map[shard.Unit]*copyUnit
	bytes int64
	// sweep are the units that Tick has not visited yet in this pass.
	sweep []shard.Unit
}

// copyUnit is the state of one unit in a CopyStore. A unit without records only
// has a fence.
type copyUnit struct {
	// fence is the highest epoch seen. Messages of lower epochs are rejected.
	fence      uint64
	lastAccess clock.Reading
	// store is the complete records of the unit, or nil.
	store *store
	// incoming is the records received so far in transfer, or nil. Until they
	// are complete, store keeps the former records: if the owner is lost before
	// that, the new owner may have no other source.
	incoming *store
	transfer TransferID
	// pageKeys are the keys that a fetch pages through, listed at its first page.
	pageKeys []string
}

// NewCopyStore returns an empty CopyStore.
func NewCopyStore(cfg CopyConfig) *CopyStore {
	return &CopyStore{cfg: cfg.withDefaults(), units: map[shard.Unit]*copyUnit{}}
}

func (c *CopyStore) unit(u shard.Unit) *copyUnit {
	s := c.units[u]
	if s == nil {
		s = &copyUnit{}
		c.units[u] = s
	}
	return s
}

// Write applies a write of the unit's owner and returns the reply to it.
func (c *CopyStore) Write(now clock.Reading, req WriteRequest) WriteReply {
	reply := WriteReply{Seq: req.Seq, Unit: req.Unit, From: c.cfg.Self, Incarnation: c.cfg.Incarnation}
	if !validRecords(req.Records) || req.Step > TransferLast {
		reply.Reason = RejectInvalid
		return reply
	}
	s := c.unit(req.Unit)
	s.lastAccess = now
	if req.Epoch < s.fence {
		reply.Epoch, reply.Reason = s.fence, RejectStaleEpoch
		return reply
	}
	s.fence = req.Epoch
	reply.Epoch = s.fence
	reply.Reason = c.apply(s, req)
	reply.Accepted = reply.Reason == ""
	return reply
}

// apply stores the records of a write that passed the fence. It returns the
// reason if the write is rejected, and otherwise an empty string.
func (c *CopyStore) apply(s *copyUnit, req WriteRequest) RejectReason {
	lifetime := time.Duration(req.LifetimeMs) * time.Millisecond
	if req.Step == TransferBegin && s.transfer.less(req.Transfer) {
		c.bytes -= s.incoming.size()
		s.transfer, s.incoming = req.Transfer, newStore(lifetime)
	}
	dst := s.storeFor(req)
	if dst == nil || (req.Incarnation != 0 && req.Incarnation != c.cfg.Incarnation) {
		return RejectIncomplete
	}
	if c.full(req.Records) {
		return RejectFull
	}
	before := dst.bytes
	for i := range req.Records {
		dst.put(&req.Records[i])
	}
	c.bytes += dst.bytes - before
	dst.lifetime = lifetime
	dst.lostAtMs = max(dst.lostAtMs, req.LostAtMs)
	if req.Step == TransferLast && s.incoming != nil {
		c.bytes -= s.store.size()
		dst.sortByAge()
		s.store, s.incoming, s.pageKeys = dst, nil, nil
	}
	return ""
}

// storeFor returns the store that a write applies to: the one of the transfer
// that the write names, or otherwise the complete records. It returns nil if the
// unit has neither.
func (s *copyUnit) storeFor(req WriteRequest) *store {
	switch {
	case req.Transfer != TransferID{} && req.Transfer == s.transfer:
		if s.incoming != nil {
			return s.incoming
		}
		return s.store
	case req.Step != TransferNone:
		return nil
	default:
		return s.store
	}
}

// full reports whether the records would exceed the memory bound. Only started
// records count: a record in another state usually replaces a started one. In a
// transfer it does not, so a transfer of finished records can exceed the bound.
func (c *CopyStore) full(records []Record) bool {
	var bytes int64
	for i := range records {
		if records[i].State == Started {
			bytes += records[i].size()
		}
	}
	return bytes > 0 && c.bytes+bytes > c.cfg.MaxBytes
}

// discard removes the records of s but not its fence.
func (c *CopyStore) discard(s *copyUnit) {
	c.bytes -= s.store.size() + s.incoming.size()
	s.store, s.incoming, s.pageKeys = nil, nil, nil
}
