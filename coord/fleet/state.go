package fleet

import (
	"maps"
	"slices"

	"bramleyquay.example/coord/ranges"
	"bramleyquay.example/coord/routes"
)

// maxChanges bounds the retained ids of accepted changes. A change that is sent
// again after that many others gets Conflict instead of Accepted.
const maxChanges = 4096

// State is the replicated state machine. Apply is deterministic. State is not
// safe for concurrent use. Values that its methods return are not changed by
// later commands.
type State struct {
	stored stored
	// acceptedChanges is the set of the stored change ids.
	acceptedChanges map[string]bool
	history         history
}

// stored is the part of State that a snapshot contains.
type stored struct {
	// Index is the log index of the last command.
	Index    uint64           `cbor:"1,keyasint"`
	Document *routes.Document `cbor:"2,keyasint,omitempty"`
	Text     []byte           `cbor:"3,keyasint,omitempty"`
	// DocumentIndex, DrainIndex and RangesIndex are the log indexes of the last
	// change of each part.
	DocumentIndex uint64              `cbor:"4,keyasint"`
	DrainIndex    uint64              `cbor:"5,keyasint"`
	RangesIndex   uint64              `cbor:"6,keyasint"`
	ChangeIDs     []string            `cbor:"7,keyasint,omitempty"`
	Drained       []string            `cbor:"8,keyasint,omitempty"`
	Keyspaces     map[string]Keyspace `cbor:"9,keyasint,omitempty"`
	// Fence is the highest fencing token that was allocated.
	Fence uint64        `cbor:"10,keyasint"`
	Quota quotaRegistry `cbor:"11,keyasint,omitzero"`
	// Departures are the targets that have announced that they stop.
	Departures departureRegistry `cbor:"12,keyasint,omitempty"`
}

// Keyspace is the key space of one service.
type Keyspace struct {
	// Revision is the log index of the last change, zero before the first.
	Revision uint64         `json:"revision" cbor:"1,keyasint"`
	Ranges   []ranges.Range `json:"rows" cbor:"2,keyasint"`
}

// NewState returns the state before the first command.
func NewState() *State {
	return &State{stored: stored{Keyspaces: map[string]Keyspace{}}, acceptedChanges: map[string]bool{}}
}

// Restore returns the state that a snapshot contains.
func Restore(data []byte) (*State, error) {
	st := NewState()
	if err := binaryCodec.Unmarshal(data, &st.stored); err != nil {
		return nil, Error.Wrap(err)
	}
	if st.stored.Keyspaces == nil {
		st.stored.Keyspaces = map[string]Keyspace{}
	}
	for _, id := range st.stored.ChangeIDs {
		st.acceptedChanges[id] = true
	}
	if st.stored.Document != nil {
		st.history.addDocument(st.stored.DocumentIndex, st.stored.Document, len(data))
	}
	for service, keyspace := range st.stored.Keyspaces {
		st.history.addKeyspace(service, keyspace)
	}
	return st, nil
}

// Snapshot returns the encoded state, for Restore.
func (st *State) Snapshot() ([]byte, error) {
	data, err := binaryCodec.Marshal(st.stored)
	return data, Error.Wrap(err)
}

// Apply applies the encoded command at a log index. An error means that the
// command can't be decoded or is empty.
func (st *State) Apply(index uint64, data []byte) (Result, error) {
	st.stored.Index = index
	var c Command
	if err := binaryCodec.Unmarshal(data, &c); err != nil {
		return Result{}, Error.Wrap(err)
	}
	switch {
	case c.ApplyDocument != nil:
		return st.applyDocument(index, c.ApplyDocument, len(data)), nil
	case c.SetDrain != nil:
		return st.setDrain(index, c.SetDrain), nil
	case c.ReplaceRanges != nil:
		return st.replaceRanges(index, c.ReplaceRanges), nil
	case c.RegisterQuota != nil:
		return st.registerQuota(index, c.RegisterQuota), nil
	case c.RecordDeparture != nil:
		return st.recordDeparture(index, c.RecordDeparture), nil
	case c.ForgetDepartures != nil:
		return st.forgetDepartures(c.ForgetDepartures), nil
	}
	return Result{}, Error.New("the command has no content")
}

func (st *State) result(o ChangeStatus) Result { return Result{Status: o, Version: st.Version()} }

// applyDocument applies a change of the document. size is that of the encoded command
// in bytes.
func (st *State) applyDocument(index uint64, c *ApplyDocument, size int) Result {
	switch {
	case st.acceptedChanges[c.ChangeID]:
		return st.result(Accepted)
	case c.BaseVersion != st.Version():
		return st.result(Conflict)
	case c.Document == nil || c.Document.Version <= st.Version() || len(c.Document.ValidateLogged()) > 0:
		return st.result(Refused)
	}
	st.stored.Document, st.stored.Text, st.stored.DocumentIndex = c.Document, c.Text, index
	st.history.addDocument(index, c.Document, size)
	st.acceptedChanges[c.ChangeID] = true
	st.stored.ChangeIDs = append(st.stored.ChangeIDs, c.ChangeID)
	if len(st.stored.ChangeIDs) > maxChanges {
		delete(st.acceptedChanges, st.stored.ChangeIDs[0])
		st.stored.ChangeIDs = slices.Clone(st.stored.ChangeIDs[1:])
	}
	return st.result(Accepted)
}

func (st *State) setDrain(index uint64, c *SetDrain) Result {
	if c.Base != nil && *c.Base != st.stored.DrainIndex {
		return st.result(Conflict)
	}
	i, found := slices.BinarySearch(st.stored.Drained, c.DataCentre)
	switch {
	case c.On && !found:
		st.stored.Drained = slices.Insert(slices.Clone(st.stored.Drained), i, c.DataCentre)
	case !c.On && found:
		st.stored.Drained = slices.Delete(slices.Clone(st.stored.Drained), i, i+1)
	case c.Base == nil:
		return st.result(Accepted)
	}
	// An order that changes nothing is acknowledged too: earlier ones must not be
	// carried out after it.
	st.stored.DrainIndex = index
	return st.result(Accepted)
}

func (st *State) replaceRanges(index uint64, c *ReplaceRanges) Result {
	keyspace := st.Keyspace(c.Service)
	if keyspace.Revision != c.BaseRevision || !ranges.Covers(c.Ranges) {
		return st.result(Conflict)
	}
	keyRanges := slices.Clone(c.Ranges)
	for i := range keyRanges {
		if !keyRanges[i].Holder.IsZero() && keyRanges[i].Fence == 0 {
			st.stored.Fence++
			keyRanges[i].Fence = st.stored.Fence
		}
	}
	st.stored.Keyspaces = maps.Clone(st.stored.Keyspaces)
	st.stored.Keyspaces[c.Service] = Keyspace{Revision: index, Ranges: keyRanges}
	st.history.addKeyspace(c.Service, st.stored.Keyspaces[c.Service])
	st.stored.RangesIndex = index
	return st.result(Accepted)
}

// Version returns the version of the document, 0 before the first one.
func (st *State) Version() uint64 {
	if st.stored.Document == nil {
		return 0
	}
	return st.stored.Document.Version
}

// Document returns the document, nil before the first one, and the text that its
// author submitted.
func (st *State) Document() (*routes.Document, []byte) { return st.stored.Document, st.stored.Text }

// Accepted reports whether the change was accepted. Only the last maxChanges
// accepted changes are known.
func (st *State) Accepted(changeID string) bool { return st.acceptedChanges[changeID] }

// Drained returns the drained data centres, sorted by name.
func (st *State) Drained() []string { return st.stored.Drained }

// Keyspace returns the key space of a service. One that was never changed has
// revision 0 and a single range without a holder.
func (st *State) Keyspace(service string) Keyspace {
	if s, ok := st.stored.Keyspaces[service]; ok {
		return s
	}
	return Keyspace{Ranges: ranges.UnassignedKeyspace()}
}

// Revisions returns the log indexes of the last change of each part.
func (st *State) Revisions() Revisions {
	return Revisions{Document: st.stored.DocumentIndex, Drain: st.stored.DrainIndex, Ranges: st.stored.RangesIndex}
}

// Revisions are revisions of the parts of the state: the current ones, or those
// that a process has applied. Document, Drain and Ranges are log indexes.
type Revisions struct {
	Document uint64 `json:"document"`
	Drain    uint64 `json:"drain"`
	Ranges   uint64 `json:"rows"`
	// Directory is the number of changes of the directory in the term Term. Each
	// leader counts from zero.
	Directory uint64 `json:"directory"`
	Term      uint64 `json:"term"`
	// Quarantine is the number of changes of the quarantine in the term.
	Quarantine uint64 `json:"quarantine,omitempty"`
}
