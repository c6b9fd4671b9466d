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

// Controller makes the decisions of the control leader. Its own fields are
// volatile and start empty in every term; only State is replicated. It is not
// safe for concurrent use.
//
// Invariant: once the loss of a member was proposed in this term, no renewal is
// granted to that member before the loss is applied. A proposal that timed out
// may still be committed, so a loss is proposed again but never withdrawn.
type Controller struct {
	cfg           Config
	rng           *rand.Rand
	leading       bool
	newTerm       bool          // members were not observed since BecomeLeader
	lastTick      clock.Reading // time of the last Tick
	tracker       *lease.Tracker
	lossProposals map[table.MemberID]lossProposal
	pending       map[subject]pendingProposal // proposals except those in lossProposals
	commands      []Command                   // result of the current call

	views            map[table.MemberID]*memberView
	observedRevision uint64                // directory revision that views reflects
	releasedEpochs   map[shard.Unit]uint64 // epochs at which owners released moving units
	openMoves        map[shard.Unit]openMove
	recordsLosses    map[shard.Unit]recordsLoss
	dismissedAt      map[string]clock.Reading // actions dismissed by operators, by id
	loads            unitLoads
	planners         map[string]*placement.Planner
	limiter          *movelimit.Limiter

	lastScan         clock.Reading
	scannedRevisions revisions
	scanIncomplete   bool // the last scan could not propose all changes
	nextBalance      clock.Reading
	lastBalance      clock.Reading
	moveBudgets      map[string]float64 // rebalancing moves that may start now, by service
}

// lossProposal is a DeclareMembersLost that was proposed for an incarnation
// and is not applied yet.
type lossProposal struct {
	incarnation uint64
	proposed    clock.Reading
}

// recordsLoss records when this leader first saw that the idempotency records
// of a unit are lost, and the table revision of that loss.
type recordsLoss struct {
	revision uint64
	since    clock.Reading
}

// revisions are the revisions that a scan saw. They show whether State has
// changed since.
type revisions struct{ table, directory, config uint64 }

// NewController returns a controller that is not the leader. rng spreads the
// times of rebalancing.
func NewController(cfg Config, rng *rand.Rand) *Controller {
	c := &Controller{cfg: cfg, rng: rng}
	c.reset(clock.Reading{})
	return c
}

// BecomeLeader starts a term. The caller must have applied the first log entry of
// its own term, because unapplied entries of earlier terms may declare losses.
func (c *Controller) BecomeLeader(now clock.Reading) {
	c.reset(now)
	c.leading = true
}

// BecomeFollower ends a term: from now on no renewal is granted and no command
// is proposed.
func (c *Controller) BecomeFollower() { c.reset(clock.Reading{}) }

func (c *Controller) reset(now clock.Reading) {
	c.leading, c.newTerm, c.commands, c.lastTick = false, true, nil, clock.Reading{}
	c.tracker = lease.NewTracker(c.cfg.Lease)
	c.tracker.Reset(now)
	c.lossProposals = map[table.MemberID]lossProposal{}
	c.pending = map[subject]pendingProposal{}
	c.views = map[table.MemberID]*memberView{}
	c.releasedEpochs = map[shard.Unit]uint64{}
	c.openMoves = map[shard.Unit]openMove{}
	c.recordsLosses = map[shard.Unit]recordsLoss{}
	c.dismissedAt = map[string]clock.Reading{}
	c.loads = newUnitLoads(c.cfg.LoadHalfLife)
	c.planners = map[string]*placement.Planner{}
	c.limiter = movelimit.New(c.cfg.MoveLimit)
	c.moveBudgets = map[string]float64{}
	c.lastScan, c.scannedRevisions, c.scanIncomplete = now, revisions{}, true
	c.nextBalance, c.lastBalance = now.Add(c.cfg.RebalanceInterval), now
	if c.cfg.HotKeys != nil {
		c.cfg.HotKeys.Reset()
	}
}

// Tick returns the commands to propose now. The leader must call it at least
// every 50 ms; a later call delays failover by the same time.
func (c *Controller) Tick(now clock.Reading, s *State) []Command {
	if !c.leading {
		return nil
	}
	c.commands = nil
	c.detectStall(now)
	c.expireProposals(now)
	c.observeMembers(now, s)
	c.declareLosses(now, s)
	c.clearReachedBarriers(now, s)
	c.assignUnowned(now, s)
	c.finishMoves(now, s)
	c.scan(now, s)
	c.expireRecordsLosses(now, s)
	c.balance(now, s)
	c.removeLostMembers(now, s)
	c.dismissObsoleteActions(now, s)
	return c.commands
}

// detectStall resets all leases in the tracker after a stall of the leader,
// because renewals that arrived meanwhile are still queued. Losses that were
// already proposed are not withdrawn.
func (c *Controller) detectStall(now clock.Reading) {
	if !c.lastTick.IsZero() && now.MonoSince(c.lastTick) > c.cfg.StallThreshold {
		c.tracker.Reset(now)
	}
	c.lastTick = now
}

// OnApplied must be called after each command that was applied to s, whichever
// replica proposed it. It ends the pending proposals of the command's subjects and
// updates the member views. The result is ignored.
func (c *Controller) OnApplied(now clock.Reading, s *State, cmd Command, _ Result) {
	if !c.leading {
		return
	}
	for _, sub := range cmd.subjects() {
		delete(c.pending, sub)
	}
	if cmd.DismissAction != nil && cmd.DismissAction.Author != leaderAuthor {
		c.dismissedAt[cmd.DismissAction.ID] = now
	}
	c.observeMembers(now, s)
}

// planner returns the placement planner of a service, creating it on first use.
func (c *Controller) planner(service string) *placement.Planner {
	p := c.planners[service]
	if p == nil {
		p = placement.NewPlanner(c.cfg.Placement)
		c.planners[service] = p
	}
	return p
}
