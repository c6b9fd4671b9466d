// Package hotkey finds frequently requested keys and decides which of them
// are split out of their shard, moved and merged back.
//
// Sketch counts keys in bounded memory at the member that serves them.
// Planner runs at the control leader on the reports of all members. Neither is
// safe for concurrent use.
package hotkey
