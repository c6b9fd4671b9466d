package control

import (
	"time"

	"bramleyquay.example/coord/lease"
	"bramleyquay.example/coord/movelimit"
	"bramleyquay.example/coord/placement"
)

// Config holds the leader's times and limits.
type Config struct {
	Lease     lease.Config
	Placement placement.Config
	Drain     movelimit.Config
	// ProposalTimeout is the time after which a proposal that was not applied
	// is made again. A shorter time repeats commands during a slow commit.
	ProposalTimeout time.Duration
	// StallThreshold is the time between two ticks from which the leader counts as
	// paused, by a stalled disk for example. It has heard nobody meanwhile, so
	// it waits one lease anew before it declares a loss. A lower value delays
	// failover after shorter stalls; a higher one than the slack of a lease
	// makes a stall look like the loss of every member.
	StallThreshold time.Duration
	// ScanInterval is the least time between two scans of the whole table for
	// units and copies to be moved. A scan of 66,000 units costs milliseconds.
	ScanInterval time.Duration
	// RebalanceInterval is the time between two looks at the balance.
	RebalanceInterval time.Duration
	// MovesPerMinute limits moves for balance and of hot keys, per service.
	MovesPerMinute int
	// MaxMoveSharePerMinute raises that limit to a share of all units each minute.
	MaxMoveSharePerMinute float64
	// LoadHalfLife smooths the reported load of units. A longer time reacts
	// later and less to noise.
	LoadHalfLife time.Duration
	// MinUnitRate is the mean rate in requests per second and unit from which
	// units are balanced by load; below it they are counted.
	MinUnitRate float64
	// MaxCopyChangesPerScan bounds the changes of record copies in one scan.
	MaxCopyChangesPerScan int
	// MoveTimeout is the time after which a move is cancelled whose owner does
	// not release the unit. It has to exceed the longest request deadline.
	MoveTimeout time.Duration
	// LostMemberRetention is the time after which a lost member that holds nothing is
	// removed from the directory.
	LostMemberRetention time.Duration
	// ActionCooldown is the time for which a dismissed action is not proposed
	// again.
	ActionCooldown time.Duration
	// HotKeys decides on splits and merges; nil leaves hot keys alone.
	HotKeys HotKeyPlanner
}

// DefaultConfig returns the project's values.
func DefaultConfig() Config {
	return Config{
		Lease: lease.Default(), Placement: placement.DefaultConfig(), Drain: movelimit.Default(),
		StallThreshold:  250 * time.Millisecond,
		ProposalTimeout: time.Second, ScanInterval: 100 * time.Millisecond,
		RebalanceInterval: 2 * time.Second, MovesPerMinute: 120, MaxMoveSharePerMinute: 0.1,
		LoadHalfLife: 30 * time.Second, MinUnitRate: 1, MaxCopyChangesPerScan: 256,
		MoveTimeout: 45 * time.Second, LostMemberRetention: time.Hour, ActionCooldown: 10 * time.Minute,
	}
}
