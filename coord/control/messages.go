// Package control is the control plane of clusters whose keys are hashed to
// shards. State is the replicated state machine of the control group: the
// ownership table, the directory of members, and the operators' documents.
// Controller makes the decisions of the control leader: leases, failover, moves,
// record copies, rebalancing and hot keys. Clusters with key ranges use package
// fleet instead.
//
// A member is the sidecar process of one target. Its ingress accepts callers'
// requests and finds the owner of the key; its gate checks ownership and limits right
// before the target. A unit is a shard or one hot key split out of it.
package control

import (
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

// Renewal is a member's periodic message to the control leader. It registers the
// member, requests a lease and recent changes, and carries the member's reports.
type Renewal struct {
	ID          table.MemberID `json:"id"`
	Incarnation uint64         `json:"incarnation"`
	Seq         uint64         `json:"seq"`
	DataCentre  string         `json:"dataCentre"`
	// PeerAddr is the address for other members, as IP address and port.
	PeerAddr string `json:"peerAddr"`
	// Target is nil until the target has announced itself.
	Target *Target `json:"target,omitempty"`
	// Leaving requests that all units are moved away because the process is
	// stopping.
	Leaving bool `json:"leaving,omitempty"`
	// TableRevision, ConfigRevision and DirectoryRevision are the newest
	// revisions that the member has applied. Requests that were admitted under
	// earlier revisions may still be in progress; see OldestTable and
	// OldestConfig.
	TableRevision     uint64 `json:"tableRevision"`
	ConfigRevision    uint64 `json:"configRevision"`
	DirectoryRevision uint64 `json:"directoryRevision"`
	// OldestTable and OldestConfig are the lowest revisions under which a
	// request in progress was admitted, or 0 if no request was admitted under
	// an older revision than the applied one. Until they rise, the member may
	// still work on keys that a newer document assigns to other units. A barrier
	// is cleared only once the lower of the applied and the oldest revision has
	// reached it at every member with a lease.
	OldestTable  uint64 `json:"oldestTable,omitempty"`
	OldestConfig uint64 `json:"oldestConfig,omitempty"`

	Load Load `json:"load"`
	// Released lists the moving units that the member has stopped serving, at
	// their current epochs. Every renewal repeats it until the table shows the
	// next owner.
	Released []UnitEpoch `json:"released,omitempty"`
	// Synced lists the syncing copies that have received all records, and the
	// member itself for a unit whose records it has read from the entry's
	// Sources. Every renewal repeats it.
	Synced  []CopySynced `json:"synced,omitempty"`
	HotKeys []HotKey     `json:"hotKeys,omitempty"`
	// UnitLoads holds the request rates of units that the member owns.
	UnitLoads []UnitLoad `json:"unitLoads,omitempty"`
}

// oldestRevisions returns the lowest table and document revisions that the member
// or a request in progress there still uses.
func (r *Renewal) oldestRevisions() (table, config uint64) {
	table, config = r.TableRevision, r.ConfigRevision
	if r.OldestTable > 0 {
		table = min(table, r.OldestTable)
	}
	if r.OldestConfig > 0 {
		config = min(config, r.OldestConfig)
	}
	return table, config
}

// Target describes the target of a member.
type Target struct {
	Service string `json:"service"`
	// Slots is the number of requests that the target can run concurrently.
	Slots int `json:"slots"`
	// ChecksFences is set if the target itself refuses requests with an old fence.
	ChecksFences bool `json:"checksFences,omitempty"`
	// Incarnation changes with every start of the target.
	Incarnation uint64 `json:"incarnation,omitempty"`
}

// Load is the load of a target as its gate measures it.
type Load struct {
	// Running and Queued are numbers of requests. Limit is the number of requests
	// that may run concurrently at present.
	Running int `json:"running"`
	Limit   int `json:"limit"`
	Queued  int `json:"queued"`
	// Rate is in requests per second.
	Rate float64 `json:"rate"`
	// ServiceTimeUs is the recent median service time in microseconds.
	ServiceTimeUs int64 `json:"serviceTimeUs"`
}

// UnitEpoch is a unit at an epoch.
type UnitEpoch struct {
	Unit  shard.Unit `json:"unit"`
	Epoch uint64     `json:"epoch"`
}

// CopySynced reports that member Copy has all idempotency records of the unit.
type CopySynced struct {
	Unit  shard.Unit     `json:"unit"`
	Epoch uint64         `json:"epoch"`
	Copy  table.MemberID `json:"copy"`
}

// HotKey is a frequently requested key, identified by its hash.
type HotKey struct {
	Keyspace string `json:"keyspace"`
	Hash     uint64 `json:"hash"`
	// Rate is in requests per second.
	Rate float64 `json:"rate"`
}

// UnitLoad is the request rate of one unit.
type UnitLoad struct {
	Unit shard.Unit `json:"unit"`
	// Rate is in requests per second.
	Rate float64 `json:"rate"`
}

// RenewalStatus is the result of a renewal.
type RenewalStatus string

const (
	// RenewalGranted means that the lease is renewed.
	RenewalGranted RenewalStatus = "granted"
	// RenewalPending means that no lease is granted now, for example because
	// the registration is not applied yet. The member renews again.
	RenewalPending RenewalStatus = "pending"
	// RenewalFenced means that this incarnation was declared lost, replaced or
	// removed. The member stops serving its units and registers with a new
	// incarnation.
	RenewalFenced RenewalStatus = "fenced"
)

// RenewalReply answers a Renewal.
//
// A member applies Table before it uses the lease, because the lease is valid
// only for the table of TableRevision.
type RenewalReply struct {
	Status RenewalStatus `json:"status"`
	Seq    uint64        `json:"seq"`
	// Incarnation is the incarnation in the renewal. A member ignores replies
	// to an earlier incarnation, because sequence numbers are reused.
	Incarnation uint64 `json:"incarnation"`
	// TableRevision is the member's table revision after it applies Table.
	TableRevision uint64       `json:"tableRevision"`
	Table         *table.Delta `json:"table,omitempty"`
	// Config is set if the member's document is older than the newest one.
	Config    *ConfigUpdate    `json:"config,omitempty"`
	Directory *DirectoryUpdate `json:"directory,omitempty"`
	// Draining is set if the member is being drained: it must accept no new
	// work once its units have moved.
	Draining bool `json:"draining,omitempty"`
	// MayStop is set if the member is leaving, owns or receives no units, has no
	// in-sync copy, and no barrier is set. Its process may then stop.
	MayStop bool `json:"mayStop,omitempty"`
}

// ConfigUpdate carries a whole document. Documents are small, so there are no
// deltas.
type ConfigUpdate struct {
	Revision uint64 `json:"revision"`
	// Document is the document as JSON.
	Document []byte `json:"document"`
}

// DirectoryUpdate carries the members that changed.
type DirectoryUpdate struct {
	Revision uint64 `json:"revision"`
	// Full is set if Members replaces the whole directory.
	Full    bool             `json:"full,omitempty"`
	Members []Member         `json:"members,omitempty"`
	Removed []table.MemberID `json:"removed,omitempty"`
}

// MemberState is the state of a registered member.
type MemberState string

const (
	// MemberActive members may receive work.
	MemberActive MemberState = "active"
	// MemberDraining members serve the units that they still own until these
	// have moved away, and receive no other new work.
	MemberDraining MemberState = "draining"
	// MemberLost members were declared lost. They stay in the directory until
	// they return with a new incarnation or are removed.
	MemberLost MemberState = "lost"
)

// Member is an entry of the directory.
type Member struct {
	ID          table.MemberID `json:"id" cbor:"1,keyasint"`
	Incarnation uint64         `json:"incarnation" cbor:"2,keyasint"`
	DataCentre  string         `json:"dataCentre" cbor:"3,keyasint"`
	// PeerAddr is the address for other members, as IP address and port.
	PeerAddr string      `json:"peerAddr" cbor:"4,keyasint"`
	State    MemberState `json:"state" cbor:"5,keyasint"`
	Target   *Target     `json:"target,omitempty" cbor:"6,keyasint,omitempty"`
	// Leaving is set once the member has announced that its process is stopping.
	Leaving bool `json:"leaving,omitempty" cbor:"7,keyasint,omitempty"`
}
