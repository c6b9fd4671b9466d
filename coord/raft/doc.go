// Package raft implements the Raft consensus algorithm as a deterministic state
// machine. It replicates the log of the control group in both modes: that with
// hashed shards and that with key ranges. It contains no goroutine, clock, socket
// or file.
//
// The caller drives a Node with Tick, Step and the methods that propose entries.
// Whenever HasReady returns true, the caller processes one Ready:
//
//  1. persist and sync Snapshot, then HardState and Entries in one step;
//  2. send Messages;
//  3. apply Snapshot, then Committed, then answer Reads;
//  4. call Advance with the same Ready.
//
// Messages may be lost, duplicated, delayed and reordered. A Node is not safe
// for concurrent use; slices that it returns are never modified afterwards. The
// caller must not modify slices that it has passed to a Node.
//
// The safety of Status.QuorumActive depends on ticks. The caller must count elapsed
// time, not timer events: after a suspension it calls Tick once for each tick
// interval that has passed, before it calls any other method. QuorumActive is safe
// while the tick rates of two replicas differ by at most about 5% each way. It is
// not safe if a leader counts still fewer ticks, or a follower still more.
package raft
