package control

import (
	"encoding/json"
	"slices"

	"bramleyquay.example/coord/config"
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

// snapshotFormat is raised when the encoding of a snapshot changes incompatibly.
const snapshotFormat = 1

// snapshot is the encoded form of State.
type snapshot struct {
	Format                int                 `cbor:"1,keyasint"`
	Index                 uint64              `cbor:"2,keyasint"`
	Table                 table.Delta         `cbor:"3,keyasint"`
	Documents             []DocumentRevision  `cbor:"4,keyasint"`
	Members               []memberRecord      `cbor:"5,keyasint"`
	DirectoryRevision     uint64              `cbor:"6,keyasint"`
	RemovalsForgottenUpTo uint64              `cbor:"7,keyasint"`
	Removals              []removal           `cbor:"8,keyasint"`
	Retired               []MemberIncarnation `cbor:"9,keyasint"`
	Drains                []DrainInfo         `cbor:"10,keyasint"`
	Actions               []PendingAction     `cbor:"11,keyasint"`
	Changes               []changeRecord      `cbor:"12,keyasint"`
	EpochFloor            uint64              `cbor:"13,keyasint"`
	Barriers              map[string]barrier  `cbor:"14,keyasint"`
	RecordsLostAt         []unitRevision      `cbor:"15,keyasint"`
}

type unitRevision struct {
	Unit     shard.Unit `cbor:"1,keyasint"`
	Revision uint64     `cbor:"2,keyasint"`
}

// Snapshot returns the encoded state. Equal states have equal snapshots.
func (s *State) Snapshot() ([]byte, error) {
	snap := snapshot{
		Format: snapshotFormat, Index: s.index, Table: s.tbl.Snapshot(), Documents: s.documents.list,
		DirectoryRevision: s.directory.revision, RemovalsForgottenUpTo: s.directory.forgottenUpTo, Removals: s.directory.removals,
		Retired: s.retired.list, Actions: s.Actions(), Changes: s.changes.records,
		EpochFloor: s.epochFloor, Barriers: s.barriers,
	}
	for _, m := range s.Members() {
		snap.Members = append(snap.Members, *s.members[m.ID])
	}
	for _, d := range s.Drains() {
		if !d.InDocument {
			snap.Drains = append(snap.Drains, d)
		}
	}
	for _, u := range sortedUnits(s.recordsLost) {
		snap.RecordsLostAt = append(snap.RecordsLostAt, unitRevision{u, s.recordsLost[u]})
	}
	data, err := cborCodec.Marshal(snap)
	return data, Error.Wrap(err)
}

// Restore returns the state of a snapshot. It returns an error if the snapshot is
// damaged or has another format.
func Restore(data []byte) (*State, error) {
	var snap snapshot
	if err := cborCodec.Unmarshal(data, &snap); err != nil {
		return nil, Error.Wrap(err)
	}
	if snap.Format != snapshotFormat {
		return nil, Error.New("snapshot has format %d, expected %d", snap.Format, snapshotFormat)
	}
	s := NewState()
	if err := s.restoreTable(&snap); err != nil {
		return nil, err
	}
	s.index, s.epochFloor = snap.Index, snap.EpochFloor
	for i := range snap.Members {
		s.members[snap.Members[i].Member.ID] = &snap.Members[i]
	}
	s.directory = directoryLog{revision: snap.DirectoryRevision, forgottenUpTo: snap.RemovalsForgottenUpTo, removals: snap.Removals}
	for _, m := range snap.Retired {
		s.retired.add(m)
	}
	for _, d := range snap.Drains {
		s.drains[d.Drain] = d
	}
	for _, a := range snap.Actions {
		s.actions[a.ID] = a
	}
	for _, r := range snap.Changes {
		s.changes.add(r)
	}
	for name, b := range snap.Barriers {
		s.barriers[name] = b
	}
	for _, r := range snap.RecordsLostAt {
		s.recordsLost[r.Unit] = r.Revision
	}
	return s, nil
}

func (s *State) restoreTable(snap *snapshot) error {
	if snap.Table.ToRevision > 0 {
		t, err := table.Empty().Apply(snap.Table)
		if err != nil {
			return Error.Wrap(err)
		}
		s.tbl = t
	}
	s.rebuildIndexes()
	s.documents.list = slices.Clone(snap.Documents)
	if text := s.documents.last().Text; text != nil {
		doc := &config.Document{}
		if err := json.Unmarshal(text, doc); err != nil {
			return Error.Wrap(err)
		}
		spaces, fault := keyspacesOf(doc)
		if fault != "" {
			return Error.New("snapshot: %s", fault)
		}
		s.doc, s.keyspaces = doc, spaces
	}
	return nil
}
