package fleet

import (
	"time"

	"bramleyquay.example/coord/quarantine"
	"bramleyquay.example/coord/quota"
	"bramleyquay.example/coord/ranges"
	"bramleyquay.example/coord/routes"
)

// Condition is the state of a target as its sidecar process sees it.
type Condition string

const (
	// Ready targets accept requests.
	Ready Condition = "ready"
	// Draining targets finish their requests and accept no new ones.
	Draining Condition = "draining"
	// Gone targets have ended or have stopped announcing themselves.
	Gone Condition = "gone"
)

// Member is a sidecar process and its target.
type Member struct {
	// Process is the peer address of the process.
	Process    string `json:"process"`
	DataCentre string `json:"dataCentre"`
	// Target is empty until a target has announced itself. The fields from
	// Incarnation to Condition describe this target. Incarnation is its start time
	// in Unix milliseconds.
	Target      string    `json:"target,omitempty"`
	Incarnation int64     `json:"life,omitempty"`
	Service     string    `json:"service,omitempty"`
	Slots       int       `json:"slots,omitempty"`
	Condition   Condition `json:"condition,omitempty"`
	// Leaving is set while the process shuts down.
	Leaving bool `json:"leaving,omitempty"`
	// Weight is the published weight of the target's quality, in eighths; 0 means 8.
	Weight int `json:"weight,omitempty"`
}

// Holder returns m's target as a holder of key ranges, zero without a target.
func (m Member) Holder() ranges.Holder {
	if m.Target == "" {
		return ranges.Holder{}
	}
	return ranges.Holder{Target: m.Target, Incarnation: m.Incarnation, Process: m.Process}
}

// Renewal is the message that each process sends to the leader several times a
// second, to renew its membership and the lease of its target.
type Renewal struct {
	Member Member `json:"member"`
	// Revisions are the revisions that the process has applied.
	Revisions Revisions `json:"known"`
	// NeedsDepartures is set until the process has had a reply since its start.
	NeedsDepartures bool `json:"needsDepartures,omitempty"`
	// Released lists the ranges that the target has released. Each is repeated
	// until the process sees the release in the key space.
	Released []ReleasedRange `json:"released,omitempty"`
	// EndedHolders lists the holders of this process whose targets have certainly
	// ended. Each is repeated until the process sees that it holds no range.
	EndedHolders []ranges.Holder `json:"ended,omitempty"`
	// Rates lists the request rates of the busiest load buckets at this process.
	// It is nil if they were not measured since the last renewal. An empty list is
	// not encoded, so the leader gets nil without traffic too.
	Rates []BucketRate `json:"rates,omitempty"`
	// Capacity is the number of requests per second that the target could serve;
	// zero if it was not measured. Utilization is the fraction of its slots in
	// use.
	Capacity    float64 `json:"capacity,omitempty"`
	Utilization float64 `json:"busy,omitempty"`
	// Limit is the number of requests per second that the target names as its limit,
	// zero without one. It is nil until the target has answered this process.
	Limit *float64 `json:"limit,omitempty"`
	// Quarantine is nil if the process has nothing to report.
	Quarantine *QuarantineReport `json:"quarantine,omitempty"`
	// Quota is nil if the process's document has no accounts with limits.
	Quota *quota.Report `json:"quota,omitempty"`
}

// QuarantineReport is what a process knows about requests that end targets. All parts
// may be sent more than once.
type QuarantineReport struct {
	// Crashes are the recent crashes of the process's target.
	Crashes []quarantine.Report `json:"crashes,omitempty"`
	// Completed are listed requests that the process's target has completed. Each is
	// repeated until it is not listed any more.
	Completed []quarantine.Fingerprint `json:"completed,omitempty"`
	// Known are the requests that an earlier leader has listed.
	Known []quarantine.Entry `json:"known,omitempty"`
}

// ReleasedRange is a range that a target has released, or does not accept.
type ReleasedRange struct {
	Range         ranges.Range `json:"row"`
	HandoverToken string       `json:"handover,omitempty"`
	// Refused is set if the target refuses the range at its fence, because it has
	// seen a higher one. It may still hold keys of the range, whose release is
	// therefore requested.
	Refused bool `json:"refused,omitempty"`
}

// BucketRate is the request rate of one load bucket, in requests per second.
type BucketRate struct {
	Bucket int     `json:"b"`
	Rate   float64 `json:"r"`
}

// RenewalReply is the reply to a Renewal. A process must apply the key ranges
// before the lease.
type RenewalReply struct {
	// Revisions are the revisions of the state after the reply is applied.
	Revisions Revisions `json:"known"`
	// Lease is the time, counted from the sending of the renewal, for which the
	// target may serve the ranges that are assigned to it. Zero means that no
	// lease is granted.
	Lease time.Duration `json:"lease,omitempty"`
	// TargetLeaving is set if the renewal does not say that its target stops, but an
	// earlier one did, of an earlier start of the process. TargetLimit is the limit that
	// the target named then, if the renewal has none.
	TargetLeaving bool    `json:"targetLeaving,omitempty"`
	TargetLimit   float64 `json:"targetLimit,omitempty"`
	// Departures are the recorded departures of the process's targets, if the renewal
	// needs them.
	Departures []Departure `json:"departures,omitempty"`
	// The fields from Document to Quarantine hold what changed since the renewal's
	// revisions; they are empty if nothing changed. Document and Patch are sent in
	// Compressed, as JSON compressed with DEFLATE.
	Document   *routes.Document          `json:"-"`
	Patch      *routes.Patch             `json:"-"`
	Compressed []byte                    `json:"packed,omitempty"`
	Drained    *[]string                 `json:"drained,omitempty"`
	Keyspaces  map[string]KeyspaceUpdate `json:"spaces,omitempty"`
	Members    *MembersUpdate            `json:"members,omitempty"`
	// Quarantine lists the requests to watch or refuse.
	Quarantine *[]quarantine.Entry `json:"quarantine,omitempty"`
	// Quota answers the renewal's report. It is applied after the document.
	Quota *quota.Reply `json:"quota,omitempty"`

	// MembersComplete is set once the leader's grace period has passed, in which
	// every running process is expected to have renewed. The directory then counts
	// as complete.
	MembersComplete bool `json:"settled,omitempty"`
	// Replicas are the peer addresses of the voters of the control group.
	Replicas []string `json:"replicas,omitempty"`
}
