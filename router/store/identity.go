package store

import (
	"errors"
	"fmt"
	"io/fs"

	"bramleyquay.example/coord/raft"
)

const identityName = "identity"

// Identity tells which replica's data a folder holds. A replica whose data
// is lost returns under a new id: it may have voted and does not know.
type Identity struct {
	Replica raft.ID `cbor:"1,keyasint"`
	// Cluster tells groups apart, so that a folder is not used in another.
	Cluster string `cbor:"2,keyasint"`
}

// ReadIdentity returns the folder's identity, ErrNoIdentity if none was
// written, or a *CorruptError.
func ReadIdentity(fsys FS) (Identity, error) {
	data, err := readFile(fsys, identityName)
	if errors.Is(err, fs.ErrNotExist) {
		return Identity{}, ErrNoIdentity
	}
	if err != nil {
		return Identity{}, fmt.Errorf("store: %w", err)
	}
	payload, rest, ok := nextRecord(data)
	if !ok || len(rest) > 0 {
		return Identity{}, &CorruptError{File: identityName, Reason: "the record is damaged"}
	}
	var id Identity
	if err := decoder.Unmarshal(payload, &id); err != nil {
		return Identity{}, &CorruptError{File: identityName, Reason: err.Error()}
	}
	return id, nil
}

// WriteIdentity stores and syncs the identity. Writing the same one again
// has no effect; a different one is refused with ErrIdentityExists.
func WriteIdentity(fsys FS, id Identity) error {
	if id.Replica == "" || id.Cluster == "" {
		return &InvalidWriteError{Reason: "an identity needs a replica id and a cluster id"}
	}
	stored, err := ReadIdentity(fsys)
	switch {
	case err == nil && stored != id:
		return ErrIdentityExists
	case err == nil:
		return fsys.SyncDir() // the earlier write may have ended before its sync
	case !errors.Is(err, ErrNoIdentity):
		return err
	}
	record, err := encodeRecord(id)
	if err != nil {
		return err
	}
	f, err := writeFile(fsys, identityName, record)
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	if err := f.Close(); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	return nil
}
