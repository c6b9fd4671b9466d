// Package store keeps a replica's log, snapshot and identity on disk.
//
// A folder holds one pair of files per generation: "snapshot-G" with one
// snapshot, and "log-G" with a header record and one record per Save. A new
// snapshot starts a new generation. The rename of its log file is the moment
// at which it replaces the previous one, so a crash leaves one of the two
// whole. Within a log file nothing is overwritten: a record whose entries
// start at an index that is already stored replaces the entries from there
// on, when the file is read back.
//
// Every record has its length and payload covered by separate checksums. A
// record that is damaged and is the last one was torn by a crash, and is cut
// off. Damage before that, a missing snapshot or a missing log is reported as
// *CorruptError and the replica must not start with this folder. A torn
// record cannot be told from later damage to a last record that was synced.
//
// After a failed write or sync the state of the file is not known, and a
// repeated sync may report success without having written. The store then
// refuses all further writes with *WriteFailedError.
package store
