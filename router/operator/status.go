package operator

import (
	"time"

	"bramleyquay.example/coord/config"
	"bramleyquay.example/coord/control"
)

// Status is the state of a cluster as the control leader sees it.
type Status struct {
	Cluster string    `json:"cluster"`
	At      time.Time `json:"at"`
	// Leader is the id of the control leader that answered.
	Leader        string             `json:"leader"`
	Term          uint64             `json:"term"`
	Replicas      []ReplicaStatus    `json:"replicas"`
	Members       []MemberStatus     `json:"members"`
	DataCentres   []DataCentreStatus `json:"dataCentres"`
	Services      []ServiceStatus    `json:"services"`
	Moves         []MoveStatus       `json:"moves"`
	Pending       []PendingAction    `json:"pending"`
	Automation    config.Automation  `json:"automation"`
	TableRevision uint64             `json:"tableRevision"`
	Config        ConfigStatus       `json:"config"`
}

// ReplicaStatus describes a control replica.
type ReplicaStatus struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	// Voter is false for a learner, which is not needed for a quorum.
	Voter bool `json:"voter"`
	// Position is the index of the last log entry that the leader knows to be
	// synced at the replica. For the leader it is that of its last entry.
	Position uint64 `json:"position"`
	// Behind is the number of the leader's log entries that the replica lacks.
	Behind uint64 `json:"behind"`
	// Reachable is set for the leader, and for a replica that has answered a
	// heartbeat which the leader sent within the last election timeout.
	Reachable bool `json:"reachable"`
}

// MemberStatus describes a registered member.
type MemberStatus struct {
	ID         string              `json:"id"`
	DataCentre string              `json:"dataCentre"`
	Service    string              `json:"service,omitempty"`
	Address    string              `json:"address"`
	State      control.MemberState `json:"state"`
	Load       control.Load        `json:"load"`
	// Slots is the number of slots that the target announced.
	Slots int `json:"slots"`
	// Ramping is set during the slow start of a cold target.
	Ramping bool `json:"ramping,omitempty"`
	// LeaseRemainingMs is the time until the leader may declare the member lost.
	// It is 0 once it may, and for a lost member.
	LeaseRemainingMs int64 `json:"leaseRemainingMs"`
	Units            int   `json:"units"`
	// ConfigRevision is the oldest revision of the document that the member may
	// still use, from its last renewal.
	ConfigRevision uint64 `json:"configRevision"`
	// ConfigDelayMs is not set at present and always 0.
	ConfigDelayMs int64 `json:"configDelayMs"`
}

// DataCentreStatus holds sums over the members of a data centre.
type DataCentreStatus struct {
	Name    string `json:"name"`
	Region  string `json:"region,omitempty"`
	Drained bool   `json:"drained"`
	Members int    `json:"members"`
	Units   int    `json:"units"`
	Slots   int    `json:"slots"`
	Running int    `json:"running"`
	Queued  int    `json:"queued"`
	// Rate is the number of requests per second.
	Rate float64 `json:"rate"`
}

// ServiceStatus holds counts of the units of a service.
type ServiceStatus struct {
	Name  string `json:"name"`
	Units int    `json:"units"`
	// Unserved is the number of units without a serving owner now, including units
	// in a planned move.
	Unserved int `json:"unserved"`
	// LongestGapMs is the longest time that a unit had no serving owner since the
	// leader was elected, including times that are not over yet. The time from a
	// member's failure until it is declared lost is not included.
	LongestGapMs int64 `json:"longestGapMs"`
}

// MoveStatus is a move in progress.
type MoveStatus struct {
	Unit string `json:"unit"`
	From string `json:"from"`
	To   string `json:"to"`
	// SinceMs and Reason are not set at present.
	SinceMs int64  `json:"sinceMs"`
	Reason  string `json:"reason,omitempty"`
}

// PendingAction is an automatic action that waits for an operator because its
// switch is off.
type PendingAction struct {
	ID     string        `json:"id"`
	Action config.Action `json:"action"`
	// Text is one sentence that says what the action would do and why.
	Text string `json:"text"`
	// Since is when the leader first listed the action for an operator. A new
	// leader starts again.
	Since time.Time `json:"since"`
}

// ConfigStatus describes the propagation of the newest document.
type ConfigStatus struct {
	Revision uint64 `json:"revision"`
	// Everywhere is set once no member that is not lost may still use an older
	// revision.
	Everywhere bool `json:"everywhere"`
	// EverywhereMs is the time from when the leader applied Revision, or became
	// leader, until the last of these members had it, or the time passed so far.
	EverywhereMs int64 `json:"everywhereMs"`
	// Missing is the number of members that are not lost and may still use an
	// older revision.
	Missing int `json:"missing"`
}
