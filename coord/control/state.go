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
	epochFloor  uint64 // highest epoch of any unit that was removed
	barriers    map[string]barrier
	recordsLost map[shard.Unit]uint64

	holdings map[table.MemberID]*holding // derived from tbl
	unowned  map[shard.Unit]struct{}     // derived from tbl
	moving   map[shard.Unit]table.MemberID
}

// keyspace is what State needs of a key space's service.
type keyspace struct {
	config.Keyspace
	copies     int // record copies besides the owner; 0 without payments
	lifetimeMs int64
}

// NewState returns the state before the first command.
func NewState() *State {
	return &State{
		tbl: table.Empty(), doc: &config.Document{}, keyspaces: map[string]keyspace{},
		members: map[table.MemberID]*memberRecord{}, drains: map[Drain]DrainInfo{},
		actions: map[string]PendingAction{}, barriers: map[string]barrier{},
		recordsLost: map[shard.Unit]uint64{}, holdings: map[table.MemberID]*holding{},
		unowned: map[shard.Unit]struct{}{}, moving: map[shard.Unit]table.MemberID{},
	}
}

// Index returns the log index of the last applied command.
func (s *State) Index() uint64 { return s.index }

// Table returns the current ownership table. It is immutable.
func (s *State) Table() *table.Table { return s.tbl }

// TableDelta returns what a holder of revision from needs: nil if it is
// current, a delta, or the full table if the history does not reach back. The
// result is shared and must not be changed.
func (s *State) TableDelta(from uint64) *table.Delta { return s.deltas.since(s.tbl, from) }

// Document returns the current document. Its revision is 0 before the first.
func (s *State) Document() (revision uint64, doc *config.Document, text []byte) {
	last := s.documents.last()
	return last.Revision, s.doc, last.Text
}

// DocumentHistory returns up to limit documents, newest first.
func (s *State) DocumentHistory(limit int) []DocumentRevision { return s.documents.newest(limit) }

// Members returns all members, lost ones included, by ascending id.
func (s *State) Members() []Member {
	out := make([]Member, 0, len(s.members))
	for _, r := range s.members {
		out = append(out, r.Member)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Member returns a member.
func (s *State) Member(id table.MemberID) (Member, bool) {
	if r := s.members[id]; r != nil {
		return r.Member, true
	}
	return Member{}, false
}

// Retired reports whether an incarnation was declared lost, replaced or
// removed. It may not come back.
func (s *State) Retired(m MemberIncarnation) bool { return s.retired.has(m) }

// copiesOf returns the number of record copies that a unit of a key space has.
func (s *State) copiesOf(keyspace string) int { return s.keyspaces[keyspace].copies }
