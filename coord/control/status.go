package control

import (
	"cmp"
	"slices"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

// Status is the state of the control group as dumps and the console show it.
type Status struct {
	Leading        bool   `json:"leading"`
	TableRevision  uint64 `json:"tableRevision"`
	ConfigRevision uint64 `json:"configRevision"`
	Units          int    `json:"units"`
	// Unowned is the number of units without an owner. Units in phase
	// table.Unowned whose owner is still recorded are not counted.
	Unowned          int             `json:"unowned"`
	Members          []MemberStatus  `json:"members"`
	Moves            []MoveStatus    `json:"moves,omitempty"`
	Drains           []DrainInfo     `json:"drains,omitempty"`
	Actions          []PendingAction `json:"actions,omitempty"`
	Barriers         []Barrier       `json:"barriers,omitempty"`
	RecordsLost      []shard.Unit    `json:"recordsLost,omitempty"`
	PendingProposals int             `json:"inFlight"`
}

// MemberStatus is a member with the leader's volatile view of it.
type MemberStatus struct {
	Member
	// LeaseMs is the remaining time, in milliseconds, until the leader may
	// declare the member lost; 0 once it may.
	LeaseMs int64 `json:"leaseMs"`
	// LossPending is set while the member's loss is proposed but not applied.
	LossPending bool `json:"losing,omitempty"`
	// Ramp is the share of its capacity that the member should carry, from 0
	// to 1.
	Ramp  float64 `json:"ramp"`
	Load  Load    `json:"load"`
	Owned int     `json:"owned"`
	// Copies is the number of units of which the member is a copy, in sync or
	// syncing.
	Copies int `json:"copies"`
	// TableRevision and ConfigRevision are the oldest revisions that the member
	// may still use, from its last renewal.
	TableRevision  uint64 `json:"tableRevision"`
	ConfigRevision uint64 `json:"configRevision"`
}

// MoveStatus is a planned move in progress.
type MoveStatus struct {
	Unit     shard.Unit     `json:"unit"`
	Epoch    uint64         `json:"epoch"`
	From     table.MemberID `json:"from"`
	To       table.MemberID `json:"to"`
	Released bool           `json:"released,omitempty"`
}

// Status returns the status of the control group. On a follower it has no
// volatile state.
func (c *Controller) Status(now clock.Reading, s *State) Status {
	out := Status{
		Leading: c.leading, TableRevision: s.tbl.Revision(), ConfigRevision: s.documents.last().Revision,
		Units: s.tbl.Len(), Unowned: len(s.unowned), Drains: s.Drains(), Actions: s.Actions(), Barriers: s.Barriers(),
		RecordsLost: sortedUnits(s.recordsLost), PendingProposals: len(c.pending) + len(c.lossProposals),
	}
	for _, m := range s.Members() {
		out.Members = append(out.Members, c.memberStatus(now, s, m))
	}
	for u, to := range s.moving {
		e := s.tbl.Entry(u)
		epoch, released := c.releasedEpochs[u]
		out.Moves = append(out.Moves, MoveStatus{Unit: u, Epoch: e.Epoch, From: e.Owner, To: to, Released: released && epoch == e.Epoch})
	}
	slices.SortFunc(out.Moves, func(a, b MoveStatus) int {
		return cmp.Or(compareUnits(a.Unit, b.Unit), cmp.Compare(a.Epoch, b.Epoch))
	})
	return out
}

func (c *Controller) memberStatus(now clock.Reading, s *State, m Member) MemberStatus {
	h := s.unitsOf(m.ID)
	st := MemberStatus{Member: m, Ramp: 1, Owned: len(h.owned), Copies: len(h.copies)}
	if !c.leading {
		return st
	}
	_, st.LossPending = c.lossProposals[m.ID]
	st.Ramp = c.ramp(now, s, &m)
	if m.State != MemberLost {
		st.LeaseMs = c.tracker.Remaining(m.ID, m.Target != nil && m.Target.ChecksFences, now).Milliseconds()
	}
	if v := c.views[m.ID]; v != nil {
		st.Load, st.TableRevision, st.ConfigRevision = v.load, v.table, v.config
	}
	return st
}
