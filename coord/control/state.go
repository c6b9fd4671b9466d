package control

import (
	"cmp"
	"slices"

	"bramleyquay.example/coord/config"
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

// State is the replicated state machine of the control group. Apply is
// deterministic, so every replica that applied the same log has the same
// state. It is not safe for concurrent use.
type State struct {
	index     uint64
	tbl       *table.Table
	deltas    deltaHistory
	documents documentHistory
	doc       *config.Document
	keyspaces map[string]keyspace // derived from doc

	members   map[table.MemberID]*memberRecord
	directory directoryLog
	retired   retiredSet
	drains    map[Drain]DrainInfo

	actions     map[string]PendingAction
	changes     changeLog
	epochFloor  uint64 // highest epoch of all removed units
	barriers    map[string]barrier
	recordsLost map[shard.Unit]uint64 // table revision at which the unit's records were lost

	unitsByMember map[table.MemberID]*memberUnits // derived from tbl
	unowned       map[shard.Unit]struct{}         // units without an owner; derived from tbl
	moving        map[shard.Unit]table.MemberID   // receiver by unit; derived from tbl
}

// keyspace is a key space with the settings of its service that State needs.
type keyspace struct {
	config.Keyspace
	copies     int   // record copies in addition to the owner; 0 without payments
	lifetimeMs int64 // lifetime of idempotency records
}

// NewState returns the state before the first command.
func NewState() *State {
	return &State{
		tbl: table.Empty(), doc: &config.Document{}, keyspaces: map[string]keyspace{},
		members: map[table.MemberID]*memberRecord{}, drains: map[Drain]DrainInfo{},
		actions: map[string]PendingAction{}, barriers: map[string]barrier{},
		recordsLost: map[shard.Unit]uint64{}, unitsByMember: map[table.MemberID]*memberUnits{},
		unowned: map[shard.Unit]struct{}{}, moving: map[shard.Unit]table.MemberID{},
	}
}

// Index returns the log index of the last applied command.
func (s *State) Index() uint64 { return s.index }

// Table returns the current ownership table. It is immutable.
func (s *State) Table() *table.Table { return s.tbl }

// TableDelta returns the changes from table revision from to the current one: nil
// if from is current or newer, and the full table if the retained history does not
// reach back to from. The result is shared and must not be modified.
func (s *State) TableDelta(from uint64) *table.Delta { return s.deltas.since(s.tbl, from) }

// Document returns the current document, its revision and its JSON text. The
// revision is 0 before the first document.
func (s *State) Document() (revision uint64, doc *config.Document, text []byte) {
	last := s.documents.last()
	return last.Revision, s.doc, last.Text
}

// DocumentHistory returns up to limit documents, newest first.
func (s *State) DocumentHistory(limit int) []DocumentRevision { return s.documents.newest(limit) }

// Members returns all members, including lost ones, by ascending id.
func (s *State) Members() []Member {
	out := make([]Member, 0, len(s.members))
	for _, r := range s.members {
		out = append(out, r.Member)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Member returns a member and whether it is in the directory.
func (s *State) Member(id table.MemberID) (Member, bool) {
	if r := s.members[id]; r != nil {
		return r.Member, true
	}
	return Member{}, false
}

// Retired reports whether an incarnation was declared lost, replaced or removed.
// It may not register again.
func (s *State) Retired(m MemberIncarnation) bool { return s.retired.has(m) }

// copiesOf returns the number of record copies that each unit of a key space
// should have.
func (s *State) copiesOf(keyspace string) int { return s.keyspaces[keyspace].copies }
