package control

import (
	"time"

	"bramleyquay.example/coord/lease"
	"bramleyquay.example/coord/movelimit"
	"bramleyquay.example/coord/placement"
)

// Config holds the parameters of a Controller. It is not the operators'
// document, which is config.Document.
type Config struct {
	Lease     lease.Config
	Placement placement.Config
	MoveLimit movelimit.Config
	// ProposalTimeout is the time after which a command that was not applied
	// may be proposed again. A shorter time duplicates commands when commits
	// are slow.
	ProposalTimeout time.Duration
	// StallThreshold is the time between two ticks above which the leader is
	// taken to have stalled, for example on a slow disk. It processed no
	// renewals meanwhile, so it waits a full lease before it declares a loss.
	// A lower value delays failover after shorter stalls. A value above the
	// time by which a lease outlasts the interval between renewals, 750 ms
	// with the default lease, makes a stall look like the loss of every member.
	StallThreshold time.Duration
	// ScanInterval is the minimum time between two scans of the whole table
	// for units and copies to move. A scan of 66,000 units takes milliseconds.
	ScanInterval time.Duration
	// RebalanceInterval is the time between two checks of the load balance,
	// plus a random part of up to 10%.
	RebalanceInterval time.Duration
	// MovesPerMinute limits the rebalancing moves of each service, including
	// those of split keys. Moves that the HotKeyPlanner decides on, for example
	// before a merge, are limited by MoveLimit only.
	MovesPerMinute int
	// MaxMoveSharePerMinute raises that limit to this share of the service's
	// units per minute, if that is more.
	MaxMoveSharePerMinute float64
	// LoadHalfLife is the half-life of the moving average of the reported
	// unit loads. A longer time reacts later and is less sensitive to noise.
	LoadHalfLife time.Duration
	// MinUnitRate is the mean rate of a service's units, in requests per
	// second, from which units are balanced by load. Below it every unit counts
	// the same.
	MinUnitRate float64
	// MaxCopyChangesPerScan bounds the units whose record copies change in
	// one scan.
	MaxCopyChangesPerScan int
	// MoveTimeout is the time after which a move is cancelled if the owner has
	// not released the unit. It should exceed the longest request deadline,
	// because a unit is not released while a request for it runs. The default
	// exceeds config.DefaultMaxTimeoutMs, but not every maxTimeoutMs that a
	// document may set.
	MoveTimeout time.Duration
	// LostMemberRetention is the time after which a lost member without units
	// and in-sync copies is removed from the directory. It counts from when the
	// current leader first saw the loss.
	LostMemberRetention time.Duration
	// ActionCooldown is the time for which an action that an operator
	// dismissed is not proposed again. A new leader does not know earlier
	// dismissals.
	ActionCooldown time.Duration
	// HotKeys decides which hot keys are split and merged; nil disables both.
	HotKeys HotKeyPlanner
}

// DefaultConfig returns the default parameters, without a HotKeyPlanner.
func DefaultConfig() Config {
	return Config{
		Lease: lease.Default(), Placement: placement.DefaultConfig(), MoveLimit: movelimit.Default(),
		StallThreshold:  250 * time.Millisecond,
		ProposalTimeout: time.Second, ScanInterval: 100 * time.Millisecond,
		RebalanceInterval: 2 * time.Second, MovesPerMinute: 120, MaxMoveSharePerMinute: 0.1,
		LoadHalfLife: 30 * time.Second, MinUnitRate: 1, MaxCopyChangesPerScan: 256,
		MoveTimeout: 45 * time.Second, LostMemberRetention: time.Hour, ActionCooldown: 10 * time.Minute,
	}
}
