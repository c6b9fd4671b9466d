package placement

import (
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

// UnitInfo is a unit to be placed.
type UnitInfo struct {
	ID shard.Unit
	// Load is the unit's share of the work; 0 counts as 1.
	Load float64
	// Owner is the present owner; Assign ignores it.
	Owner table.MemberID
	// Prefer lists members that should receive the unit if they have room.
	Prefer []table.MemberID
	// Avoid lists members that must not receive the unit.
	Avoid []table.MemberID
	// DataCentres lists where the unit may be; empty allows every one.
	DataCentres []string
	// Fixed units count as load and are not moved.
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
	// Weight is the member's capacity relative to the others; 0 counts as 1.
	// A member in its ramp after a cold start has a weight below 1.
	Weight float64
}

// Assignment gives a unit to a member.
type Assignment struct {
	Unit shard.Unit
	To   table.MemberID
}

// Move takes a unit from one member to another.
type Move struct {
	Unit     shard.Unit
	From, To table.MemberID
}
