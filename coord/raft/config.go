package raft

import (
	"fmt"
	"math/rand/v2"
)

// ID names a replica. A replica that lost its data returns under a new ID.
type ID string

// Defaults for Config fields that are zero.
const (
	DefaultMaxBatchBytes = 1 << 20
	DefaultMaxInflight   = 64
)

// Config holds the parameters of one replica. ElectionTicks and
// HeartbeatTicks must be equal in the whole group.
type Config struct {
	// ID is this replica's name.
	ID ID
	// ElectionTicks is the minimum election timeout in ticks; a follower
	// waits between one and two of them. More ticks tolerate longer pauses
	// and lengthen the time without a leader.
	ElectionTicks int
	// HeartbeatTicks is the time between heartbeats in ticks. More ticks cost
	// fewer messages and leave fewer attempts within an election timeout.
	HeartbeatTicks int
	// MaxBatchBytes bounds the entry data in one append message; a larger
	// single entry is sent alone. Zero stands for DefaultMaxBatchBytes.
	MaxBatchBytes int
	// MaxInflight bounds the append messages to one replica that are not yet
	// answered. Zero stands for DefaultMaxInflight.
	MaxInflight int
	// KeepEntries is the number of entries before a snapshot that Compact
	// keeps in memory, so that a replica that is slightly behind needs no
	// snapshot. Zero keeps none.
	KeepEntries int
	// Rand chooses election timeouts. Replicas need different seeds.
	Rand *rand.Rand
}

// quorumMargin is the part of ElectionTicks, in ticks, in which a leader no
// longer relies on an answered heartbeat round. Two ticks cover the phase of
// the leader's and the follower's timer; one tenth covers drift: with 10
// ticks the rates may differ by 1/17 each way.
func (c Config) quorumMargin() int { return 2 + (c.ElectionTicks+9)/10 }

// checked returns the configuration with defaults filled in.
func (c Config) checked() (Config, error) {
	if c.MaxBatchBytes == 0 {
		c.MaxBatchBytes = DefaultMaxBatchBytes
	}
	if c.MaxInflight == 0 {
		c.MaxInflight = DefaultMaxInflight
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
	case c.KeepEntries < 0:
		return c, &ConfigError{Field: "KeepEntries", Reason: "is negative"}
	}
	return c, nil
}
