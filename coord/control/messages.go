// Package control holds the replicated state of the control group and the
// decisions of its leader.
package control

import (
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

// Renewal is what a member sends to the control leader: it registers the
// member, asks for a lease and for changes, and reports what happened.
type Renewal struct {
	ID          table.MemberID `json:"id"`
	Incarnation uint64         `json:"incarnation"`
	Seq         uint64         `json:"seq"`
	DataCentre  string         `json:"dataCentre"`
	PeerAddr    string         `json:"peerAddr"`
	// Target is nil while no target has announced itself.
	Target *Target `json:"target,omitempty"`
	// Leaving asks that all units are moved away because the process stops.
	Leaving bool `json:"leaving,omitempty"`
	// The newest revisions that the member holds. A revision is reported only
	// once work on units that it took away has ended: a barrier relies on it.
	TableRevision     uint64 `json:"tableRevision"`
	ConfigRevision    uint64 `json:"configRevision"`
	DirectoryRevision uint64 `json:"directoryRevision"`
	// OldestTable and OldestConfig are the lowest revisions under which a
	// request in progress was admitted; 0 if none runs under an older one than
	// the member holds. Until they rise, keys that an older document placed
	// elsewhere may still be in use at the member.
	OldestTable  uint64 `json:"oldestTable,omitempty"`
	OldestConfig uint64 `json:"oldestConfig,omitempty"`

	Load Load `json:"load"`
	// Released repeats the moving units that the member has stopped serving,
	// at their present epochs, until the table shows the next owner.
	Released []UnitEpoch `json:"released,omitempty"`
	// Synced repeats the joining copies that hold all records, and the member
	// itself for a unit whose records it has read from Sources.
	Synced  []CopySynced `json:"synced,omitempty"`
	HotKeys []HotKey     `json:"hotKeys,omitempty"`
	// UnitLoads gives the request rate of the units that the member owns.
	UnitLoads []UnitLoad `json:"unitLoads,omitempty"`
}

// settled returns the revisions that everything at the member rests on.
func (r *Renewal) settled() (table, config uint64) {
	table, config = r.TableRevision, r.ConfigRevision
	if r.OldestTable > 0 {
		table = min(table, r.OldestTable)
	}
	if r.OldestConfig > 0 {
		config = min(config, r.OldestConfig)
	}
	return table, config
}

// Target describes the target beside a member.
type Target struct {
	Service string `json:"service"`
	// Slots is the number of requests that the target can run at once.
	Slots        int  `json:"slots"`
	ChecksFences bool `json:"checksFences,omitempty"`
	// Incarnation changes with every start of the target.
	Incarnation uint64 `json:"incarnation,omitempty"`
}

// Load is a gate's view of its target.
type Load struct {
	Running int `json:"running"`
	Limit   int `json:"limit"`
	Queued  int `json:"queued"`
	// Rate is in requests per second.
	Rate float64 `json:"rate"`
	// ServiceTimeUs is the recent median service time in microseconds.
	ServiceTimeUs int64 `json:"serviceTimeUs"`
}

// UnitEpoch names a unit at an epoch.
type UnitEpoch struct {
	Unit  shard.Unit `json:"unit"`
	Epoch uint64     `json:"epoch"`
}

// CopySynced reports that Copy holds all records of the unit.
type CopySynced struct {
	Unit  shard.Unit     `json:"unit"`
	Epoch uint64         `json:"epoch"`
	Copy  table.MemberID `json:"copy"`
}

// HotKey is a frequently requested key.
type HotKey struct {
	Keyspace string `json:"keyspace"`
	Hash     uint64 `json:"hash"`
	// Rate is in requests per second.
	Rate float64 `json:"rate"`
}

// UnitLoad is the load of one unit.
type UnitLoad struct {
	Unit shard.Unit `json:"unit"`
	// Rate is in requests per second.
	Rate float64 `json:"rate"`
}

// RenewalStatus tells a member what its renewal achieved.
type RenewalStatus string

const (
	// RenewalGranted means that the lease is renewed.
	RenewalGranted RenewalStatus = "granted"
	// RenewalPending means that the registration is not in force yet; renew again.
	RenewalPending RenewalStatus = "pending"
	// RenewalFenced means that this incarnation was declared lost. The member drops
	// its units and registers with a new incarnation.
	RenewalFenced RenewalStatus = "fenced"
)

// RenewalReply answers a Renewal.
//
// A member applies Table before it counts the lease: a lease is only worth
// something together with the table of TableRevision.
type RenewalReply struct {
	Status RenewalStatus `json:"status"`
	Seq    uint64        `json:"seq"`
	// Incarnation is that of the renewal. A member ignores answers to an
	// earlier incarnation, whose sequence numbers may be the same.
	Incarnation uint64 `json:"incarnation"`
	// TableRevision is the revision after Table is applied.
	TableRevision uint64       `json:"tableRevision"`
	Table         *table.Delta `json:"table,omitempty"`
	// Config is set if the member's configuration is older than the newest.
	Config    *ConfigUpdate    `json:"config,omitempty"`
	Directory *DirectoryUpdate `json:"directory,omitempty"`
	// Draining tells the member that it must take no new work once its units
	// have moved.
	Draining bool `json:"draining,omitempty"`
	// MayStop tells a leaving member that it owns nothing any more.
	MayStop bool `json:"mayStop,omitempty"`
}

// ConfigUpdate carries a whole document; documents are small.
type ConfigUpdate struct {
	Revision uint64 `json:"revision"`
	// Document is the document as JSON.
	Document []byte `json:"document"`
}

// DirectoryUpdate carries changed members.
type DirectoryUpdate struct {
	Revision uint64 `json:"revision"`
	// Full says that Members replaces the whole directory.
	Full    bool             `json:"full,omitempty"`
	Members []Member         `json:"members,omitempty"`
	Removed []table.MemberID `json:"removed,omitempty"`
}

// MemberState is the state of a registered member.
type MemberState string

const (
	// MemberActive members receive work.
	MemberActive MemberState = "active"
	// MemberDraining members finish what they have and receive no new work.
	MemberDraining MemberState = "draining"
	// MemberLost members were declared lost. They stay listed until they return with
	// a new incarnation or are removed.
	MemberLost MemberState = "lost"
)

// Member is an entry of the directory.
type Member struct {
	ID          table.MemberID `json:"id" cbor:"1,keyasint"`
	Incarnation uint64         `json:"incarnation" cbor:"2,keyasint"`
	DataCentre  string         `json:"dataCentre" cbor:"3,keyasint"`
	PeerAddr    string         `json:"peerAddr" cbor:"4,keyasint"`
	State       MemberState    `json:"state" cbor:"5,keyasint"`
	Target      *Target        `json:"target,omitempty" cbor:"6,keyasint,omitempty"`
	// Leaving is set once the member asked to stop.
	Leaving bool `json:"leaving,omitempty" cbor:"7,keyasint,omitempty"`
}
