package store

import (
	"errors"
	"fmt"
	"io/fs"

	"bramleyquay.example/coord/raft"
)

const identityName = "identity"

// Identity identifies the replica whose data a folder holds. A replica whose data
// was lost must rejoin under a new id, because the vote that it may have given in
// the current term is lost too.
type Identity struct {
	Replica raft.ID `cbor:"1,keyasint"`
	// Cluster identifies the group, so that a folder is not used in another one.
	Cluster string `cbor:"2,keyasint"`
}

// ReadIdentity returns the folder's identity. The error is ErrNoIdentity if none was
// written, a *CorruptError if the file is damaged, or wraps that of the file system.
func ReadIdentity(fsys FS) (Identity, error) {
	var id Identity
	err := readRecord(fsys, identityName, &id)
	if errors.Is(err, fs.ErrNotExist) {
		return Identity{}, ErrNoIdentity
	}
	if err != nil {
		return Identity{}, err
	}
	return id, nil
}

// WriteIdentity writes and syncs the identity. Writing the same one again changes
// nothing; a different one is refused with ErrIdentityExists, and one with an empty
// field with *InvalidWriteError.
func WriteIdentity(fsys FS, id Identity) error {
	if id.Replica == "" || id.Cluster == "" {
		return &InvalidWriteError{Reason: "an identity needs a replica id and a cluster id"}
	}
	stored, err := ReadIdentity(fsys)
	switch {
	case err == nil && stored != id:
		return ErrIdentityExists
	case err == nil:
		return fsys.SyncDir() // the process may have stopped before it synced the earlier write
	case !errors.Is(err, ErrNoIdentity):
		return err
	}
	record, err := encodeRecord(id, entryOverhead)
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
