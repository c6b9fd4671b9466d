// Package leaderclient finds the leader of the control group and calls it.
package leaderclient

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"bramleyquay.example/router/peer"
)

// Error is the class of this package's errors.
var Error = errs.Class("leader")

// Caller calls other processes. *peer.Client implements it.
type Caller interface {
	Call(ctx context.Context, addr, method string, params, result any) error
	Drop(addr string)
}

const (
	// attemptTimeout bounds one call. It is several round trips and syncs of a
	// slow disk, and short against the operator's bound of some seconds.
	attemptTimeout = 800 * time.Millisecond
	// retryPause lies between two rounds over all replicas without a leader;
	// an election takes some hundred milliseconds.
	retryPause = 50 * time.Millisecond
)

// Client remembers the replicas and the leader. It is safe for concurrent use.
type Client struct {
	caller Caller

	mu       sync.Mutex
	seeds    []string
	replicas []string
	leader   string
	next     int
}

// New returns a client that starts at the peer addresses in seeds.
func New(caller Caller, seeds []string) *Client { return &Client{caller: caller, seeds: seeds} }

// SetSeeds replaces the addresses from the settings.
func (c *Client) SetSeeds(seeds []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = seeds
}

// SetReplicas replaces the addresses that the group has told.
func (c *Client) SetReplicas(replicas []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(replicas) > 0 {
		c.replicas = replicas
	}
}

// CallLeader calls a method of the leader until it answers or ctx ends. An error
// leaves open whether the method ran.
func (c *Client) CallLeader(ctx context.Context, method string, params, result any) error {
	var last error
	for ctx.Err() == nil {
		addr, known := c.target()
		if addr == "" {
			return Error.New("no control replica is known")
		}
		err := c.CallAt(ctx, addr, method, params, result)
		if err == nil {
			return nil
		}
		last = err
		if !known {
			select {
			case <-time.After(retryPause):
			case <-ctx.Done():
			}
		}
	}
	return Error.New("no leader answered in time: %v", last)
}

// CallAt calls a method once at addr and learns from the answer who leads.
func (c *Client) CallAt(ctx context.Context, addr, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	err := c.caller.Call(ctx, addr, method, params, result)
	c.learn(addr, err)
	return err
}

// CallReplica calls a method that every replica answers.
func (c *Client) CallReplica(ctx context.Context, addr, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return c.caller.Call(ctx, addr, method, params, result)
}

// NextAddress returns the address to call next.
func (c *Client) NextAddress() string {
	addr, _ := c.target()
	return addr
}

func (c *Client) target() (addr string, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != "" {
		return c.leader, true
	}
	list := slices.Concat(c.replicas, c.seeds)
	if len(list) == 0 {
		return "", false
	}
	c.next++
	return list[c.next%len(list)], false
}

func (c *Client) learn(addr string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var nl *peer.NotLeaderError
	switch {
	case err == nil:
		c.leader = addr
	case errors.As(err, &nl):
		if c.leader == addr {
			c.leader = ""
		}
		if nl.Leader != "" && nl.Leader != addr {
			c.leader = nl.Leader
		}
	default:
		if c.leader == addr {
			c.leader = ""
		}
		if errors.Is(err, context.DeadlineExceeded) {
			// The connection may have gone silent: the next call opens another.
			c.caller.Drop(addr)
		}
	}
}
