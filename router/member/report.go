package member

import "bramleyquay.example/coord/control"

// Report is the part of a renewal that the gate provides. The fields are those
// of control.Renewal.
type Report struct {
	Target *control.Target

	OldestTable, OldestConfig uint64

	Load      control.Load
	Released  []control.UnitEpoch
	Synced    []control.CopySynced
	HotKeys   []control.HotKey
	UnitLoads []control.UnitLoad
}

// Reporter provides the current report. The gate implements it.
type Reporter interface {
	Report() Report
}
