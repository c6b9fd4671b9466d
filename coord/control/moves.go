package control

import (
	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

// openMove is a planned move as this leader has seen it.
type openMove struct {
	epoch uint64
	since clock.Reading
}

// finishMoves repeats the end of moves whose owner has released the unit, and
// cancels moves whose owner does not release it in time.
func (c *Controller) finishMoves(now clock.Reading, s *State) {
	for u := range c.open {
		if _, moving := s.moving[u]; !moving {
			delete(c.open, u)
			delete(c.released, u)
		}
	}
	if len(s.moving) == 0 {
		return
	}
	for _, u := range sortedUnits(s.moving) {
		c.followMove(now, s.tbl.Entry(u))
	}
}

func (c *Controller) followMove(now clock.Reading, e *table.Entry) {
	o, known := c.open[e.Unit]
	if !known || o.epoch != e.Epoch {
		o = openMove{epoch: e.Epoch, since: now}
		c.open[e.Unit] = o
	}
	if epoch, released := c.released[e.Unit]; released && epoch == e.Epoch {
		c.propose(now, Command{FinishMove: &FinishMove{Unit: e.Unit, Epoch: e.Epoch}})
		return
	}
	// The owner of an expired lease is the loss path's business.
	if now.MonoSince(o.since) > c.cfg.MoveTimeout {
		c.propose(now, Command{CancelMove: &CancelMove{Unit: e.Unit, Epoch: e.Epoch, Author: leaderAuthor}})
	}
}

// observeMoves tells the limiter which moves are in progress.
func (c *Controller) observeMoves(s *State) {
	moves := make(map[shard.Unit]table.MemberID, len(s.moving))
	for u, to := range s.moving {
		moves[u] = to
	}
	for sub, f := range c.flights {
		if f.to != "" {
			moves[sub.unit] = f.to
		}
	}
	c.limiter.SetInProgress(moves)
}
