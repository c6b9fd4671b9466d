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
	// Incarnation is the random number of this process start. It must not be
	// zero: it tells writes for an earlier process with the same name apart.
	Incarnation uint64
	// MaxBytes bounds the memory of records. A full copy rejects writes, so
	// payments of the units it holds are refused; it never drops live records.
	MaxBytes int64
	// PageBytes is the size of a page in reply to a fetch. Larger pages need
	// fewer round trips and more memory per message.
	PageBytes int64
	// MaxClockSkew is how long records are kept beyond their lifetime, because the
	// wall clocks of members differ.
	MaxClockSkew time.Duration
	// FenceLifetime is how long the epoch of a unit without records is
	// remembered. A message that is delayed for longer is not recognised.
	FenceLifetime time.Duration
}

func (c CopyConfig) withDefaults() CopyConfig {
	setDefault(&c.MaxBytes, DefaultMaxBytes)
	setDefault(&c.PageBytes, DefaultPageBytes)
	setDefault(&c.MaxClockSkew, DefaultMaxClockSkew)
	setDefault(&c.FenceLifetime, DefaultLifetime)
	return c
}

// CopyStore holds records of units that other members own.
//
// It answers a fetch only for a unit that is complete: the unit's owner
// opened a join, received this process's incarnation in the reply, sent every
// record with that incarnation, and marked the last write. Nothing else makes
// a unit complete except Attach. A process that restarts has a new incarnation
// and no units; a delayed write of an earlier join names the old incarnation
// or finds no open join, and is rejected.
type CopyStore struct {
	cfg   CopyConfig
	units map[shard.Unit]*copyUnit
	bytes int64
	sweep []shard.Unit
}

// copyUnit is a unit at a copy. Without records only the fence is remembered.
type copyUnit struct {
	fence   uint64
	touched clock.Reading
	// store is all records of the unit, or nil.
	store *store
	// filling is the incomplete result of join, or nil. The store is kept
	// until it is replaced: if the owner is lost before that, the new owner
	// may have no other source.
	filling *store
	join    TransferID
	// pageKeys are the keys to page through, taken at the first page.
	pageKeys []string
}

// NewCopyStore returns a copy that holds nothing.
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

// Write applies a write of the unit's owner.
func (c *CopyStore) Write(now clock.Reading, req WriteRequest) WriteReply {
	reply := WriteReply{Seq: req.Seq, Unit: req.Unit, From: c.cfg.Self, Incarnation: c.cfg.Incarnation}
	if !validRecords(req.Records) || req.Step > TransferLast {
		reply.Problem = ProblemInvalid
		return reply
	}
	s := c.unit(req.Unit)
	s.touched = now
	if req.Epoch < s.fence {
		reply.Epoch, reply.Problem = s.fence, ProblemStale
		return reply
	}
	s.fence = req.Epoch
	reply.Epoch = s.fence
	reply.Problem = c.apply(s, req)
	reply.Accepted = reply.Problem == ""
	return reply
}

// apply stores the records of a write that passed the fence.
func (c *CopyStore) apply(s *copyUnit, req WriteRequest) RejectReason {
	lifetime := time.Duration(req.LifetimeMs) * time.Millisecond
	if req.Step == TransferBegin && s.join.less(req.Transfer) {
		c.bytes -= s.filling.size()
		s.join, s.filling = req.Transfer, newStore(lifetime)
	}
	to := s.target(req)
	if to == nil || (req.Incarnation != 0 && req.Incarnation != c.cfg.Incarnation) {
		return ProblemNotHeld
	}
	if c.full(req.Records) {
		return ProblemFull
	}
	before := to.bytes
	for i := range req.Records {
		to.put(&req.Records[i])
	}
	c.bytes += to.bytes - before
	to.lifetime = lifetime
	to.lostAtMs = max(to.lostAtMs, req.LostAtMs)
	if req.Step == TransferLast && s.filling != nil {
		c.bytes -= s.store.size()
		to.sortByAge()
		s.store, s.filling, s.pageKeys = to, nil, nil
	}
	return ""
}

// target returns where a write belongs: to the join that it names, or, outside
// of a join, to the complete records. It is nil if the copy has neither.
func (s *copyUnit) target(req WriteRequest) *store {
	switch {
	case req.Transfer != TransferID{} && req.Transfer == s.join:
		if s.filling != nil {
			return s.filling
		}
		return s.store
	case req.Step != TransferNone:
		return nil
	default:
		return s.store
	}
}

// full reports whether the records would exceed the memory bound. A record
// that ends a request is accepted: it replaces a started one.
func (c *CopyStore) full(records []Record) bool {
	var bytes int64
	for i := range records {
		if records[i].State == Started {
			bytes += records[i].size()
		}
	}
	return bytes > 0 && c.bytes+bytes > c.cfg.MaxBytes
}

// discard drops the records of s but not its fence.
func (c *CopyStore) discard(s *copyUnit) {
	c.bytes -= s.store.size() + s.filling.size()
	s.store, s.filling, s.pageKeys = nil, nil, nil
}
