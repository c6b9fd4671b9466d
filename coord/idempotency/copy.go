package idempotency

import (
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

// CopyConfig configures a Copy.
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
	// Margin is how long records are kept beyond their lifetime, because the
	// wall clocks of members differ.
	Margin time.Duration
	// FenceLifetime is how long the epoch of a unit without records is
	// remembered. A message that is delayed for longer is not recognised.
	FenceLifetime time.Duration
}

func (c CopyConfig) withDefaults() CopyConfig {
	setDefault(&c.MaxBytes, DefaultMaxBytes)
	setDefault(&c.PageBytes, DefaultPageBytes)
	setDefault(&c.Margin, DefaultMargin)
	setDefault(&c.FenceLifetime, DefaultLifetime)
	return c
}

// Copy holds records of units that other members own.
//
// It answers a fetch only for a unit that is complete: the unit's owner
// opened a join, received this process's incarnation in the reply, sent every
// record with that incarnation, and marked the last write. Nothing else makes
// a unit complete except Put. A process that restarts has a new incarnation
// and no units; a delayed write of an earlier join names the old incarnation
// or finds no open join, and is rejected.
type Copy struct {
	cfg   CopyConfig
	units map[shard.Unit]*copyUnit
	bytes int64
	sweep []shard.Unit
}

// copyUnit is a unit at a copy. Without a store only the fence is remembered.
type copyUnit struct {
	fence    uint64
	touched  clock.Reading
	store    *store
	complete bool
	join     JoinID
	// pageKeys are the keys to page through, taken at the first page.
	pageKeys []string
}

// NewCopy returns a copy that holds nothing.
func NewCopy(cfg CopyConfig) *Copy {
	return &Copy{cfg: cfg.withDefaults(), units: map[shard.Unit]*copyUnit{}}
}

func (c *Copy) unit(u shard.Unit) *copyUnit {
	s := c.units[u]
	if s == nil {
		s = &copyUnit{}
		c.units[u] = s
	}
	return s
}

// Write applies a write of the unit's owner.
func (c *Copy) Write(now clock.Reading, req WriteRequest) WriteReply {
	reply := WriteReply{Seq: req.Seq, Unit: req.Unit, From: c.cfg.Self, Incarnation: c.cfg.Incarnation}
	if !validRecords(req.Records) || req.Step > JoinLast {
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
func (c *Copy) apply(s *copyUnit, req WriteRequest) Problem {
	lifetime := time.Duration(req.LifetimeMs) * time.Millisecond
	switch {
	case req.Step == JoinOpen && s.join.less(req.Join):
		c.discard(s)
		s.join, s.store = req.Join, newStore(lifetime)
	case s.store == nil, !s.complete && s.join != req.Join:
		return ProblemNotHeld
	case req.Step != JoinNone && s.join != req.Join:
		return ProblemNotHeld
	case req.Incarnation != 0 && req.Incarnation != c.cfg.Incarnation:
		return ProblemNotHeld
	}
	if c.full(req.Records) {
		return ProblemFull
	}
	before := s.store.bytes
	for i := range req.Records {
		s.store.put(&req.Records[i])
	}
	c.bytes += s.store.bytes - before
	s.store.lifetime = lifetime
	s.store.lostAtMs = max(s.store.lostAtMs, req.LostAtMs)
	if req.Step == JoinLast {
		s.store.sortByAge()
		s.complete = true
	}
	return ""
}

// full reports whether the records would exceed the memory bound. A record
// that ends a request is accepted: it replaces a started one.
func (c *Copy) full(records []Record) bool {
	var bytes int64
	for i := range records {
		if records[i].State == Started {
			bytes += records[i].size()
		}
	}
	return bytes > 0 && c.bytes+bytes > c.cfg.MaxBytes
}

// discard drops the records of s but not its fence.
func (c *Copy) discard(s *copyUnit) {
	if s.store != nil {
		c.bytes -= s.store.bytes
	}
	s.store, s.complete, s.pageKeys = nil, false, nil
}
