package gate

import (
	"bramleyquay.example/coord/admission"
	"bramleyquay.example/coord/control"
	"bramleyquay.example/router/member"
)

// Report implements member.Reporter: it returns the gate's part of a renewal.
func (g *Gate) Report() member.Report {
	st := g.limiter.status()
	rate, units, hot := g.rates.report()
	r := member.Report{
		Load: control.Load{
			Running: st.Running, Limit: st.Limit, Queued: st.Queued, Rate: rate,
			ServiceTimeUs: st.MedianServiceTime.Microseconds(),
		},
		Released:  g.units.released(),
		Synced:    g.payments.syncedReports(),
		HotKeys:   hot,
		UnitLoads: units,
	}
	r.OldestTable, r.OldestConfig = g.units.oldest()
	if t := g.target.Load(); t != nil {
		r.Target = t.describe()
	}
	return r
}

// Status is the gate's part of a state dump.
type Status struct {
	Target    *Announcement        `json:"target"`
	Limiter   admission.Status     `json:"limiter"`
	InFlight  int                  `json:"requestsInUnits"`
	Released  []control.UnitEpoch  `json:"released"`
	Payments  any                  `json:"payments"`
	UnitRates []control.UnitLoad   `json:"unitRates"`
	Rate      float64              `json:"ratePerSecond"`
	Synced    []control.CopySynced `json:"syncedCopies"`
}

// Status returns the gate's state.
func (g *Gate) Status() Status {
	rate, units := g.rates.snapshot()
	s := Status{
		Limiter: g.limiter.status(), InFlight: g.units.total(), Released: g.units.released(),
		Payments: g.payments.status(), UnitRates: units, Rate: rate, Synced: g.payments.syncedReports(),
	}
	if t := g.target.Load(); t != nil {
		a := t.Announcement
		s.Target = &a
	}
	return s
}
