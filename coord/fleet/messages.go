package fleet

import (
	"time"

	"bramleyquay.example/coord/ranges"
	"bramleyquay.example/coord/routes"
)

// Condition is what a target says of itself.
type Condition string

const (
	// Ready targets take work.
	Ready Condition = "ready"
	// Draining targets finish what they have.
	Draining Condition = "draining"
	// Gone targets have ended or have not been heard of for long.
	Gone Condition = "gone"
)

// Member is a process and the target beside it.
type Member struct {
	// Process is the peer address of the process.
	Process    string `json:"process"`
	DataCentre string `json:"dataCentre"`
	// Target is empty while no target has announced itself.
	Target      string    `json:"target,omitempty"`
	Incarnation int64     `json:"life,omitempty"`
	Service     string    `json:"service,omitempty"`
	Slots       int       `json:"slots,omitempty"`
	Condition   Condition `json:"condition,omitempty"`
	// Leaving is set while the process stops.
	Leaving bool `json:"leaving,omitempty"`
}

// Holder returns the holder that m's target is.
func (m Member) Holder() ranges.Holder {
	if m.Target == "" {
		return ranges.Holder{}
	}
	return ranges.Holder{Target: m.Target, Incarnation: m.Incarnation, Process: m.Process}
}

// Renewal is what a process sends to the leader several times a second.
type Renewal struct {
	Member    Member    `json:"member"`
	Revisions Revisions `json:"known"`
	// Released repeats the rows that the target has given back, until the
	// table shows it.
	Released []ReleasedRange `json:"released,omitempty"`
	// EndedHolders repeats the holders at this process that have certainly ended.
	EndedHolders []ranges.Holder `json:"ended,omitempty"`
	// Rates holds the request rates of the busy buckets, if they were measured
	// since the last renewal.
	Rates []BucketRate `json:"rates,omitempty"`
	// Capacity is the rate that the target could serve, per second; zero if it
	// was not measured. Utilization is the share of its slots that is in use.
	Capacity    float64 `json:"capacity,omitempty"`
	Utilization float64 `json:"busy,omitempty"`
}

// ReleasedRange is one row that a target gave back.
type ReleasedRange struct {
	Row           ranges.Range `json:"row"`
	HandoverToken string       `json:"handover,omitempty"`
}

// BucketRate is the request rate of one bucket, per second.
type BucketRate struct {
	Bucket int     `json:"b"`
	Rate   float64 `json:"r"`
}

// RenewalReply answers a Renewal. A process applies the rows before the lease.
type RenewalReply struct {
	Revisions Revisions `json:"known"`
	// Lease is the time, from the sending of the renewal, for which the target
	// may hold the rows that the table gives it. Zero grants nothing.
	Lease time.Duration `json:"lease,omitempty"`
	// The parts that changed since the renewal's revisions.
	// Document and Patch travel in Compressed.
	Document   *routes.Document          `json:"-"`
	Patch      *routes.Patch             `json:"-"`
	Compressed []byte                    `json:"packed,omitempty"`
	Drained    *[]string                 `json:"drained,omitempty"`
	Keyspaces  map[string]KeyspaceUpdate `json:"spaces,omitempty"`
	Members    *MembersUpdate            `json:"members,omitempty"`
	// MembersComplete says that the leader has heard from every process that is up, so
	// that Members is complete.
	MembersComplete bool `json:"settled,omitempty"`
	// Replicas are the peer addresses of the control group.
	Replicas []string `json:"replicas,omitempty"`
}
