package idempotency

import (
	"sort"

	"bramleyquay.example/coord/clock"
)

// Fetch returns a page of the records of a unit to its owner and raises the
// fence: writes of lower epochs are rejected from now on.
func (c *CopyStore) Fetch(now clock.Reading, req FetchRequest) FetchReply {
	reply := FetchReply{Seq: req.Seq, Unit: req.Unit, From: c.cfg.Self, Incarnation: c.cfg.Incarnation}
	s := c.unit(req.Unit)
	s.lastAccess = now
	if req.Epoch < s.fence {
		reply.Epoch, reply.Reason = s.fence, RejectStaleEpoch
		return reply
	}
	s.fence = req.Epoch
	reply.Epoch = s.fence
	if s.store == nil || (req.Incarnation != 0 && req.Incarnation != c.cfg.Incarnation) {
		reply.Reason = RejectIncomplete
		return reply
	}
	c.page(s, req, &reply)
	return reply
}

// page sets the records of the reply. Between pages, records are only removed,
// when they expire: only the owner at the fence's epoch may write, and it does not
// write before it has fetched all pages.
func (c *CopyStore) page(s *copyUnit, req FetchRequest, reply *FetchReply) {
	if req.After == "" || s.pageKeys == nil {
		s.pageKeys = s.store.keys()
	}
	from := 0
	if req.After != "" {
		from = sort.SearchStrings(s.pageKeys, req.After)
		if from < len(s.pageKeys) && s.pageKeys[from] == req.After {
			from++
		}
	}
	var covered int
	reply.Records, covered = s.store.page(s.pageKeys[from:], c.cfg.PageBytes)
	reply.Last = from+covered == len(s.pageKeys)
	reply.LostAtMs = s.store.lostAtMs
	if reply.Last {
		s.pageKeys = nil
	}
}
