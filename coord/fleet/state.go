package fleet

import (
	"maps"
	"slices"

	"bramleyquay.example/coord/ranges"
	"bramleyquay.example/coord/routes"
)

// maxChanges bounds the change ids that are remembered. A change that is
// resent after as many others is answered as a conflict.
const maxChanges = 4096

// State is the replicated state machine. Apply is deterministic. It is not
// safe for concurrent use; what its methods return is never changed later.
type State struct {
	s stored
	// accepted is derived from the stored changes.
	accepted map[string]bool
	past     history
}

// stored is the part of State that a snapshot holds.
type stored struct {
	Index    uint64           `cbor:"1,keyasint"`
	Document *routes.Document `cbor:"2,keyasint,omitempty"`
	Text     []byte           `cbor:"3,keyasint,omitempty"`
	// DocumentIndex, DrainIndex and RowsIndex are the log indexes of the last
	// change of each part.
	DocumentIndex uint64              `cbor:"4,keyasint"`
	DrainIndex    uint64              `cbor:"5,keyasint"`
	RowsIndex     uint64              `cbor:"6,keyasint"`
	Changes       []string            `cbor:"7,keyasint,omitempty"`
	Drained       []string            `cbor:"8,keyasint,omitempty"`
	Spaces        map[string]Keyspace `cbor:"9,keyasint,omitempty"`
	// Fence is the highest fence that was drawn.
	Fence uint64 `cbor:"10,keyasint"`
}

// Keyspace is the key space of one service.
type Keyspace struct {
	// Revision is the log index of the last change.
	Revision uint64         `json:"revision" cbor:"1,keyasint"`
	Ranges   []ranges.Range `json:"rows" cbor:"2,keyasint"`
}

// NewState returns the state before the first command.
func NewState() *State {
	return &State{s: stored{Spaces: map[string]Keyspace{}}, accepted: map[string]bool{}}
}

// Restore reads a snapshot.
func Restore(data []byte) (*State, error) {
	st := NewState()
	if err := binary.Unmarshal(data, &st.s); err != nil {
		return nil, Error.Wrap(err)
	}
	if st.s.Spaces == nil {
		st.s.Spaces = map[string]Keyspace{}
	}
	for _, id := range st.s.Changes {
		st.accepted[id] = true
	}
	if st.s.Document != nil {
		st.past.addDocument(st.s.DocumentIndex, st.s.Document)
	}
	for service, space := range st.s.Spaces {
		st.past.addSpace(service, space)
	}
	return st, nil
}

// Snapshot encodes the state.
func (st *State) Snapshot() ([]byte, error) {
	data, err := binary.Marshal(st.s)
	return data, Error.Wrap(err)
}

// Apply carries out the encoded command at a log index.
func (st *State) Apply(index uint64, data []byte) (Result, error) {
	st.s.Index = index
	var c Command
	if err := binary.Unmarshal(data, &c); err != nil {
		return Result{}, Error.Wrap(err)
	}
	switch {
	case c.ApplyDocument != nil:
		return st.applyDocument(index, c.ApplyDocument), nil
	case c.SetDrain != nil:
		return st.setDrain(index, c.SetDrain), nil
	case c.ReplaceRanges != nil:
		return st.replaceRows(index, c.ReplaceRanges), nil
	}
	return Result{}, Error.New("the command has no content")
}

func (st *State) result(o ChangeStatus) Result { return Result{Status: o, Version: st.Version()} }

func (st *State) applyDocument(index uint64, c *ApplyDocument) Result {
	switch {
	case st.accepted[c.ChangeID]:
		return st.result(Accepted)
	case c.BaseVersion != st.Version():
		return st.result(Conflict)
	case c.Document == nil || c.Document.Version <= st.Version() || len(c.Document.Validate()) > 0:
		return st.result(Refused)
	}
	st.s.Document, st.s.Text, st.s.DocumentIndex = c.Document, c.Text, index
	st.past.addDocument(index, c.Document)
	st.accepted[c.ChangeID] = true
	st.s.Changes = append(st.s.Changes, c.ChangeID)
	if len(st.s.Changes) > maxChanges {
		delete(st.accepted, st.s.Changes[0])
		st.s.Changes = slices.Clone(st.s.Changes[1:])
	}
	return st.result(Accepted)
}

func (st *State) setDrain(index uint64, c *SetDrain) Result {
	i, found := slices.BinarySearch(st.s.Drained, c.DataCentre)
	switch {
	case c.On && !found:
		st.s.Drained = slices.Insert(slices.Clone(st.s.Drained), i, c.DataCentre)
		st.s.DrainIndex = index
	case !c.On && found:
		st.s.Drained = slices.Delete(slices.Clone(st.s.Drained), i, i+1)
		st.s.DrainIndex = index
	}
	return st.result(Accepted)
}

func (st *State) replaceRows(index uint64, c *ReplaceRanges) Result {
	space := st.Keyspace(c.Service)
	if space.Revision != c.BaseRevision || !ranges.Covers(c.Ranges) {
		return st.result(Conflict)
	}
	rows := slices.Clone(c.Ranges)
	for i := range rows {
		if !rows[i].Holder.IsZero() && rows[i].Fence == 0 {
			st.s.Fence++
			rows[i].Fence = st.s.Fence
		}
	}
	st.s.Spaces = maps.Clone(st.s.Spaces)
	st.s.Spaces[c.Service] = Keyspace{Revision: index, Ranges: rows}
	st.past.addSpace(c.Service, st.s.Spaces[c.Service])
	st.s.RowsIndex = index
	return st.result(Accepted)
}

// Version returns the document's version; 0 before the first.
func (st *State) Version() uint64 {
	if st.s.Document == nil {
		return 0
	}
	return st.s.Document.Version
}

// Document returns the document, nil before the first, and its author's text.
func (st *State) Document() (*routes.Document, []byte) { return st.s.Document, st.s.Text }

// Accepted reports whether a change was accepted before.
func (st *State) Accepted(changeID string) bool { return st.accepted[changeID] }

// Drained returns the drained data centres.
func (st *State) Drained() []string { return st.s.Drained }

// Keyspace returns a service's key space. One that was never changed has
// revision 0 and no holder.
func (st *State) Keyspace(service string) Keyspace {
	if s, ok := st.s.Spaces[service]; ok {
		return s
	}
	return Keyspace{Ranges: ranges.UnassignedKeyspace()}
}

// Revisions returns the log indexes of the last change of each part.
func (st *State) Revisions() Revisions {
	return Revisions{Document: st.s.DocumentIndex, Drain: st.s.DrainIndex, Ranges: st.s.RowsIndex}
}

// Revisions tell which state a process knows.
type Revisions struct {
	Document uint64 `json:"document"`
	Drain    uint64 `json:"drain"`
	Ranges   uint64 `json:"rows"`
	// Directory counts the leader's changes of the list of members; Term tells
	// the counts of different leaders apart.
	Directory uint64 `json:"directory"`
	Term      uint64 `json:"term"`
}
