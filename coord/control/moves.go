package control

import (
	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

// openMove is a planned move in progress and when this leader first saw it.
type openMove struct {
	epoch uint64
	since clock.Reading
}

// finishMoves proposes to finish moves whose owner has released the unit, and to
// cancel moves whose owner does not release it within MoveTimeout.
func (c *Controller) finishMoves(now clock.Reading, s *State) {
	for u := range c.openMoves {
		if _, moving := s.moving[u]; !moving {
			delete(c.openMoves, u)
			delete(c.releasedEpochs, u)
		}
	}
	if len(s.moving) == 0 {
		return
	}
	for _, u := range sortedUnits(s.moving) {
		c.advanceMove(now, s.tbl.Entry(u))
	}
}

// advanceMove proposes the end or the cancellation of one move if it is due.
func (c *Controller) advanceMove(now clock.Reading, e *table.Entry) {
	o, known := c.openMoves[e.Unit]
	if !known || o.epoch != e.Epoch {
		o = openMove{epoch: e.Epoch, since: now}
		c.openMoves[e.Unit] = o
	}
	if epoch, released := c.releasedEpochs[e.Unit]; released && epoch == e.Epoch {
		c.propose(now, Command{FinishMove: &FinishMove{Unit: e.Unit, Epoch: e.Epoch}})
		return
	}
	// If the owner's lease expires first, declareLosses handles the unit.
	if now.MonoSince(o.since) > c.cfg.MoveTimeout {
		c.propose(now, Command{CancelMove: &CancelMove{Unit: e.Unit, Epoch: e.Epoch, Author: leaderAuthor}})
	}
}

// updateLimiter sets the moves in progress of the limiter: those in the table and
// those with a pending proposal.
func (c *Controller) updateLimiter(s *State) {
	moves := make(map[shard.Unit]table.MemberID, len(s.moving))
	for u, to := range s.moving {
		moves[u] = to
	}
	for sub, p := range c.pending {
		if p.receiver != "" {
			moves[sub.unit] = p.receiver
		}
	}
	c.limiter.SetInProgress(moves)
}
