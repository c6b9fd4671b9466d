// Package hotkey finds frequently requested keys and decides which of them
// are split out of their shard, moved to another member and merged back. It is
// part of the mode with hashed shards (package control).
//
// Each member counts the requests for its keys in a Sketch, in bounded memory. The
// control leader passes the reports of all members to a Planner. Neither is safe
// for concurrent use.
package hotkey
