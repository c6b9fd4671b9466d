// Package raft is the replicated log of the control group as a deterministic
// state machine. It contains no goroutine, clock, socket or file.
//
// The caller drives a Node with Tick, Step and the proposing methods, and
// whenever HasReady is true it carries out one Ready:
//
//  1. persist and sync Snapshot, then HardState and Entries in one step;
//  2. send Messages;
//  3. apply Snapshot, then Committed, then answer Reads;
//  4. call Advance with the same Ready.
//
// Messages may be lost, duplicated, delayed and reordered. A Node is not safe
// for concurrent use; slices it hands out are never modified afterwards.
//
// Ticks carry the safety of Status.QuorumActive. The caller counts elapsed
// time, not timer events: after a suspension it calls Tick once for each tick
// interval that has passed, before it calls any other method. A leader that
// counts too few ticks, or a follower that counts too many, weakens it; the
// tick rates of two replicas may differ by about 5% each way.
package raft
