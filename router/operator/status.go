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
	// Leader is the id of the control leader. It is empty if there is none.
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
	// Position is the index of the replica's last log entry.
	Position uint64 `json:"position"`
	// Behind is the number of the leader's log entries that the replica lacks.
	Behind uint64 `json:"behind"`
	// Reachable is set if the replica answered within the last election timeout.
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
	Ramping          bool  `json:"ramping,omitempty"`
	LeaseRemainingMs int64 `json:"leaseRemainingMs"`
	Units            int   `json:"units"`
	// ConfigRevision is the newest revision of the document that the member has.
	ConfigRevision uint64 `json:"configRevision"`
	// ConfigDelayMs is the time from the acceptance of that revision until the
	// member had it.
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
	// Unserved is the number of units without a serving owner now.
	Unserved int `json:"unserved"`
	// LongestGapMs is the longest time that a unit had no serving owner since the
	// leader was elected.
	LongestGapMs int64 `json:"longestGapMs"`
}

// MoveStatus is a move in progress.
type MoveStatus struct {
	Unit    string `json:"unit"`
	From    string `json:"from"`
	To      string `json:"to"`
	SinceMs int64  `json:"sinceMs"`
	Reason  string `json:"reason,omitempty"`
}

// PendingAction is an automatic action that waits for an operator because its
// switch is off.
type PendingAction struct {
	ID     string        `json:"id"`
	Action config.Action `json:"action"`
	// Text is one sentence that says what the action would do and why.
	Text  string    `json:"text"`
	Since time.Time `json:"since"`
}

// ConfigStatus describes the propagation of the newest document.
type ConfigStatus struct {
	Revision uint64 `json:"revision"`
	// Everywhere is set once every member has Revision.
	Everywhere bool `json:"everywhere"`
	// EverywhereMs is the time from the acceptance of Revision until the last
	// member had it, or the time passed so far.
	EverywhereMs int64 `json:"everywhereMs"`
	// Missing is the number of members that have an older revision.
	Missing int `json:"missing"`
}
