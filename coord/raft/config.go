package raft

import (
	"fmt"
	"math/rand/v2"
)

// ID identifies a replica. A replica that lost its data must join with a new ID.
type ID string

// Defaults for Config fields that are zero.
const (
	DefaultMaxBatchBytes       = 1 << 20
	DefaultMaxInflight         = 64
	DefaultMaxInflightBytes    = 4 << 20
	DefaultMaxUncommittedBytes = 16 << 20
	DefaultKeepBytes           = 2 << 20
)

// Config holds the parameters of one replica. ElectionTicks and
// HeartbeatTicks must be equal in the whole group.
type Config struct {
	// ID identifies this replica.
	ID ID
	// ElectionTicks is the minimum election timeout in ticks; a follower
	// waits between one and two times this value. More ticks tolerate longer
	// pauses and lengthen the time without a leader.
	ElectionTicks int
	// HeartbeatTicks is the time between heartbeats in ticks. With more ticks
	// there are fewer messages, but also fewer heartbeats within an election
	// timeout.
	HeartbeatTicks int
	// MaxBatchBytes bounds the entry data in one append message; a larger
	// single entry is sent alone. Zero selects DefaultMaxBatchBytes.
	MaxBatchBytes int
	// MaxInflight bounds the append messages to one replica that are not yet
	// answered. Zero selects DefaultMaxInflight.
	MaxInflight int
	// MaxInflightBytes bounds the entry data in the append messages to one replica that
	// are not yet answered, which the replica may have to hold in memory. A larger single
	// entry is sent alone. Zero selects DefaultMaxInflightBytes.
	MaxInflightBytes int
	// MaxUncommittedBytes bounds the data of the entries of a leader that are not yet
	// committed. A larger single command is accepted alone. More allow more concurrent
	// large commands and take more memory on all replicas. Zero selects
	// DefaultMaxUncommittedBytes.
	MaxUncommittedBytes int
	// KeepEntries is the number of entries before a snapshot that Compact
	// retains in memory, so that a replica that is slightly behind needs no
	// snapshot. Zero retains none.
	KeepEntries int
	// KeepBytes bounds the data of the entries that Compact retains, unless the snapshot
	// has more than twice as much. A replica that lacks more of them gets the snapshot.
	// Zero selects DefaultKeepBytes.
	KeepBytes int
	// Rand chooses election timeouts. Replicas need different seeds.
	Rand *rand.Rand
}

// quorumMargin returns how long before the end of ElectionTicks, in ticks, a leader
// stops relying on an answered heartbeat round. Two ticks cover the phase of the
// leader's and the follower's timer; one tenth covers clock drift: with 10 ticks
// the rates may differ by 1/17 each way.
func (c Config) quorumMargin() int { return 2 + (c.ElectionTicks+9)/10 }

// validated returns the configuration with defaults applied, or a *ConfigError.
func (c Config) validated() (Config, error) {
	if c.MaxBatchBytes == 0 {
		c.MaxBatchBytes = DefaultMaxBatchBytes
	}
	if c.MaxInflight == 0 {
		c.MaxInflight = DefaultMaxInflight
	}
	if c.MaxInflightBytes == 0 {
		c.MaxInflightBytes = DefaultMaxInflightBytes
	}
	if c.MaxUncommittedBytes == 0 {
		c.MaxUncommittedBytes = DefaultMaxUncommittedBytes
	}
	if c.KeepBytes == 0 {
		c.KeepBytes = DefaultKeepBytes
	}
	switch {
	case c.ID == "":
		return c, &ConfigError{Field: "ID", Reason: "is empty"}
	case c.Rand == nil:
		return c, &ConfigError{Field: "Rand", Reason: "is nil"}
	case c.HeartbeatTicks < 1:
		return c, &ConfigError{Field: "HeartbeatTicks", Reason: "is below 1"}
	case c.ElectionTicks < c.HeartbeatTicks+c.quorumMargin()+1:
		return c, &ConfigError{Field: "ElectionTicks", Reason: fmt.Sprintf(
			"is below %d, which leaves no time for a heartbeat round", c.HeartbeatTicks+c.quorumMargin()+1)}
	case c.MaxBatchBytes < 0:
		return c, &ConfigError{Field: "MaxBatchBytes", Reason: "is negative"}
	case c.MaxInflight < 0:
		return c, &ConfigError{Field: "MaxInflight", Reason: "is negative"}
	case c.MaxInflightBytes < 0:
		return c, &ConfigError{Field: "MaxInflightBytes", Reason: "is negative"}
	case c.MaxUncommittedBytes < 0:
		return c, &ConfigError{Field: "MaxUncommittedBytes", Reason: "is negative"}
	case c.KeepEntries < 0:
		return c, &ConfigError{Field: "KeepEntries", Reason: "is negative"}
	case c.KeepBytes < 0:
		return c, &ConfigError{Field: "KeepBytes", Reason: "is negative"}
	}
	return c, nil
}
