package member

import "bramleyquay.example/coord/control"

// Report is what a process tells control with a renewal besides its identity.
type Report struct {
	Target *control.Target
	// OldestTable and OldestConfig are as in control.Renewal.
	OldestTable, OldestConfig uint64

	Load      control.Load
	Released  []control.UnitEpoch
	Synced    []control.CopySynced
	HotKeys   []control.HotKey
	UnitLoads []control.UnitLoad
}

// Reporter gives the current report. The gate implements it.
type Reporter interface {
	Report() Report
}
