package control

import (
	"math/rand/v2"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/lease"
	"bramleyquay.example/coord/movelimit"
	"bramleyquay.example/coord/placement"
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

// Controller makes the control leader's decisions. Everything it knows besides
// State is volatile. It is not safe for concurrent use.
//
// Invariant: no renewal is granted to a member once its loss was proposed in
// this term, until the loss was applied. A proposal that seems lost may still
// be committed, so a loss is repeated but never taken back.
type Controller struct {
	cfg     Config
	rng     *rand.Rand
	leading bool
	first   bool          // no Tick or Renew since BecomeLeader
	ticked  clock.Reading // the last Tick
	tracker *lease.Tracker
	losing  map[table.MemberID]loss
	flights map[subject]flight
	out     []Command

	seen     map[table.MemberID]*seenMember
	observed uint64                // directory revision that seen follows
	released map[shard.Unit]uint64 // epochs at which owners released moving units
	open     map[shard.Unit]openMove
	records  map[shard.Unit]recordsLoss
	cooling  map[string]clock.Reading
	loads    unitLoads
	planners map[string]*placement.Planner
	limiter  *movelimit.Limiter

	scanned     clock.Reading
	scannedAt   revisions
	unfinished  bool // the last scan left work
	balanceAt   clock.Reading
	balanceLast clock.Reading
	budgets     map[string]float64 // moves for balance that are allowed now, by service
}

// loss is a loss in flight.
type loss struct {
	incarnation uint64
	proposed    clock.Reading
}

// recordsLoss is when this leader first saw that a unit's records are lost.
type recordsLoss struct {
	revision uint64
	since    clock.Reading
}

// revisions tells whether anything changed since a scan.
type revisions struct{ table, directory, config uint64 }

// NewController returns a controller that does not lead.
func NewController(cfg Config, rng *rand.Rand) *Controller {
	c := &Controller{cfg: cfg, rng: rng}
	c.reset(clock.Reading{})
	return c
}

// BecomeLeader starts a term. The caller has applied the first entry of its own term:
// an entry of an earlier term may still declare a loss.
func (c *Controller) BecomeLeader(now clock.Reading) {
	c.reset(now)
	c.leading = true
}

// BecomeFollower ends a term. No renewal is granted and nothing proposed any more.
func (c *Controller) BecomeFollower() { c.reset(clock.Reading{}) }

func (c *Controller) reset(now clock.Reading) {
	c.leading, c.first, c.out, c.ticked = false, true, nil, clock.Reading{}
	c.tracker = lease.NewTracker(c.cfg.Lease)
	c.tracker.Reset(now)
	c.losing = map[table.MemberID]loss{}
	c.flights = map[subject]flight{}
	c.seen = map[table.MemberID]*seenMember{}
	c.released = map[shard.Unit]uint64{}
	c.open = map[shard.Unit]openMove{}
	c.records = map[shard.Unit]recordsLoss{}
	c.cooling = map[string]clock.Reading{}
	c.loads = newUnitLoads(c.cfg.LoadHalfLife)
	c.planners = map[string]*placement.Planner{}
	c.limiter = movelimit.New(c.cfg.Drain)
	c.budgets = map[string]float64{}
	c.scanned, c.scannedAt, c.unfinished = now, revisions{}, true
	c.balanceAt, c.balanceLast = now.Add(c.cfg.RebalanceInterval), now
	if c.cfg.HotKeys != nil {
		c.cfg.HotKeys.Reset()
	}
}

// Tick returns the commands that are due. The caller calls it at least every
// 50 ms while it leads; a later call delays failover by as much.
func (c *Controller) Tick(now clock.Reading, s *State) []Command {
	if !c.leading {
		return nil
	}
	c.out = nil
	c.notePause(now)
	c.expireFlights(now)
	c.observe(now, s)
	c.declareLosses(now, s)
	c.releaseBarriers(now, s)
	c.assignUnowned(now, s)
	c.finishMoves(now, s)
	c.scan(now, s)
	c.expireRecords(now, s)
	c.balance(now, s)
	c.tidyMembers(now, s)
	c.tidyActions(now, s)
	return c.out
}

// notePause starts the wait for losses anew after a pause of the leader: the
// renewals of that time are still in its queues. Losses that were proposed
// stay proposed.
func (c *Controller) notePause(now clock.Reading) {
	if !c.ticked.IsZero() && now.MonoSince(c.ticked) > c.cfg.StallThreshold {
		c.tracker.Reset(now)
	}
	c.ticked = now
}

// OnApplied reports that a command was applied, whoever proposed it.
func (c *Controller) OnApplied(now clock.Reading, s *State, cmd Command, _ Result) {
	if !c.leading {
		return
	}
	for _, sub := range cmd.subjects() {
		delete(c.flights, sub)
	}
	if cmd.DismissAction != nil && cmd.DismissAction.Author != leaderAuthor {
		c.cooling[cmd.DismissAction.ID] = now
	}
	c.observe(now, s)
}

// planner returns the placement planner of a service.
func (c *Controller) planner(service string) *placement.Planner {
	p := c.planners[service]
	if p == nil {
		p = placement.NewPlanner(c.cfg.Placement)
		c.planners[service] = p
	}
	return p
}
