// Package store writes a replica's Raft log, snapshot and identity to disk. The
// control replicas of both modes use it, those with hashed shards and those with
// key ranges.
//
// A folder holds one pair of files per generation: "snapshot-G" with one
// snapshot, and "log-G" with a header record, records with the entries that were
// copied from the previous generation, and one record per Save. The first
// generation has no snapshot. A new snapshot starts a new generation. The rename of its log file commits the new
// generation, so after a crash one of the two is complete. Log files are
// append-only: if a record's entries start at an index that is already stored,
// they replace the entries from there on when the file is read back. The file
// "identity" holds the replica's identity, and "lock" is locked while a Store is
// open.
//
// Separate checksums cover the length and the payload of every record. A
// damaged last record is taken for a write that a crash tore, and the file is
// truncated before it. Damage before that, a missing snapshot or a missing log is
// reported as *CorruptError and the replica must not start with this folder. A
// torn record cannot be distinguished from a synced last record that was damaged
// later.
//
// After a failed write or sync the content of the file is not known, and another
// sync may succeed without having written the data. The store then refuses all
// further writes with *WriteFailedError.
package store
