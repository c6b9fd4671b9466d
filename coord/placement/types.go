package placement

import (
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

// UnitInfo describes a unit to be assigned or moved.
type UnitInfo struct {
	ID shard.Unit
	// Load is the unit's load; 0 and less count as 1. All units of a call have to
	// use the same measure.
	Load float64
	// Owner is the present owner; Assign ignores it.
	Owner table.MemberID
	// Prefer lists members of which Assign chooses the least loaded, unless the
	// unit brings its load above Config.OverloadThreshold. Rebalance ignores it.
	Prefer []table.MemberID
	// Avoid lists members that must not receive the unit.
	Avoid []table.MemberID
	// DataCentres lists the data centres that the unit may be in; an empty list
	// allows all.
	DataCentres []string
	// Fixed units count as load and are not moved by Rebalance.
	Fixed bool
}

func (u *UnitInfo) load() float64 {
	if u.Load <= 0 {
		return 1
	}
	return u.Load
}

// Member is a member that may receive units.
type Member struct {
	ID         table.MemberID
	DataCentre string
	// Weight is the member's capacity relative to the others; 0 and less count as
	// 1, and positive values below 0.01 as 0.01. A member in its ramp after a cold
	// start has a weight below 1.
	Weight float64
}

// Assignment is the decision that a member becomes the owner of a unit.
type Assignment struct {
	Unit shard.Unit
	To   table.MemberID
}

// Move is the decision to move a unit from one member to another.
type Move struct {
	Unit     shard.Unit
	From, To table.MemberID
}
