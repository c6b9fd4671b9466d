package quota

import (
	"cmp"
	"slices"
	"time"
)

// LimitStatus is the division of one limit at the leader, for operators.
type LimitStatus struct {
	Name  string  `json:"name"`
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
	// Demand is the sum of the rates of requests at all processes, admitted or not.
	Demand float64 `json:"demand"`
	// Allotted is the rate that processes may use, AllottedBurst the tokens that they may
	// hold.
	Allotted      float64 `json:"allotted"`
	AllottedBurst float64 `json:"allottedBurst"`
	// ReserveRate and ReserveTokens are what the leader keeps.
	ReserveRate   float64 `json:"reserveRate"`
	ReserveTokens float64 `json:"reserveTokens"`
	// Processes is the number of processes with demand or an allotment.
	Processes int `json:"processes"`
	// Refused counts the requests that were refused in this term.
	Refused uint64 `json:"refused"`
	// Restricted is set while processes that have not reported to this leader may hold
	// parts of the limit.
	Restricted bool `json:"restricted,omitempty"`
}

// Status returns the division of all limits, sorted by name.
func (a *Allocator) Status(now time.Duration) []LimitStatus {
	var out []LimitStatus
	for _, l := range a.ledgers {
		if l.removed {
			continue
		}
		l.reserve.advance(now)
		st := LimitStatus{
			Name: l.name, Rate: l.limit.Rate, Burst: l.limit.Burst, Allotted: l.counted.Rate, AllottedBurst: l.counted.Burst,
			ReserveRate: l.reserve.Rate, ReserveTokens: l.reserve.tokens, Refused: l.refused, Processes: len(l.shares), Restricted: l.restricted,
		}
		for _, s := range l.shares {
			st.Demand += s.demand
		}
		out = append(out, st)
	}
	slices.SortFunc(out, func(x, y LimitStatus) int { return cmp.Compare(x.Name, y.Name) })
	return out
}
