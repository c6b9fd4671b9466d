// Package leaderclient finds the leader of the control group in fleet mode
// (package fleetnode) and calls it.
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
	// attemptTimeout is the time limit of one call. It is long enough for
	// several round trips and syncs of a slow disk, and short compared with the
	// time limit of some seconds for an operator's request.
	attemptTimeout = 800 * time.Millisecond
	// retryPause is the time between two calls while no leader is known. It is
	// short compared with the election timeout of package fleetnode, which is at
	// least 500 ms.
	retryPause = 50 * time.Millisecond
)

// Client calls the control group. It caches the addresses of the replicas and
// of the leader. It is safe for concurrent use.
type Client struct {
	caller Caller

	mu       sync.Mutex
	seeds    []string
	replicas []string
	leader   string
	next     int
	// replaced is closed when SetLeader names another leader.
	replaced chan struct{}
}

// New returns a client that finds the group at the peer addresses in seeds.
func New(caller Caller, seeds []string) *Client {
	return &Client{caller: caller, seeds: seeds, replaced: make(chan struct{})}
}

// SetLeader sets the address of the leader that a replica has learned of, or empty if
// it knows that the earlier one has ended. Calls of CallLeader that wait for another
// process go on at the new leader.
func (c *Client) SetLeader(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if addr == c.leader {
		return
	}
	c.leader = addr
	if addr != "" {
		close(c.replaced)
		c.replaced = make(chan struct{})
	}
}

// SetSeeds replaces the addresses from the settings.
func (c *Client) SetSeeds(seeds []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = seeds
}

// SetReplicas replaces the addresses of the replicas that the group reported.
// An empty list is ignored.
func (c *Client) SetReplicas(replicas []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(replicas) > 0 {
		c.replicas = replicas
	}
}

// CallLeader calls a method that only the leader answers, and retries after
// every error until it succeeds or ctx ends, so the method may run more than
// once. While no leader is known it calls the replicas and seeds in turn; if
// no address is known, it returns an error at once. After an error the method
// may have run.
func (c *Client) CallLeader(ctx context.Context, method string, params, result any) error {
	var lastErr error
	for ctx.Err() == nil {
		addr, isLeader, replaced := c.selectAddress()
		if addr == "" {
			return Error.New("no control replica is known")
		}
		err := c.callUntil(ctx, replaced, addr, method, params, result)
		if err == nil {
			return nil
		}
		lastErr = err
		if !isLeader {
			select {
			case <-time.After(retryPause):
			case <-ctx.Done():
			}
		}
	}
	return Error.New("no leader answered in time: %v", lastErr)
}

// callUntil is CallAt, but ends with an error once replaced is closed.
func (c *Client) callUntil(ctx context.Context, replaced <-chan struct{}, addr, method string, params, result any) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	returned := make(chan struct{})
	defer close(returned)
	go func() {
		select {
		case <-replaced:
			cancel()
		case <-returned:
		}
	}()
	return c.CallAt(ctx, addr, method, params, result)
}

// CallAt calls a method that only the leader answers, once at addr and for at
// most attemptTimeout. It updates the address of the leader from the answer or
// the error, and closes the connection to addr after a timeout.
func (c *Client) CallAt(ctx context.Context, addr, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	err := c.caller.Call(ctx, addr, method, params, result)
	c.updateLeader(addr, err)
	return err
}

// CallReplica calls a method that every replica answers, once at addr and for at
// most attemptTimeout. It does not change the address of the leader.
func (c *Client) CallReplica(ctx context.Context, addr, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return c.caller.Call(ctx, addr, method, params, result)
}

// NextAddress returns the address to call next: the leader's or, while no leader
// is known, those of the replicas and seeds in turn. It is empty if none is
// known.
func (c *Client) NextAddress() string {
	addr, _, _ := c.selectAddress()
	return addr
}

// selectAddress returns the address to call next, whether it is the leader's, and a
// channel that is closed when SetLeader names another one.
func (c *Client) selectAddress() (addr string, isLeader bool, replaced <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != "" {
		return c.leader, true, c.replaced
	}
	list := slices.Concat(c.replicas, c.seeds)
	if len(list) == 0 {
		return "", false, c.replaced
	}
	c.next++
	return list[c.next%len(list)], false, c.replaced
}

// updateLeader updates the address of the leader after a call at addr.
func (c *Client) updateLeader(addr string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var notLeader *peer.NotLeaderError
	switch {
	case err == nil:
		c.leader = addr
	case errors.As(err, &notLeader):
		if c.leader == addr {
			c.leader = ""
		}
		if notLeader.Leader != "" && notLeader.Leader != addr {
			c.leader = notLeader.Leader
		}
	default:
		if c.leader == addr {
			c.leader = ""
		}
		if errors.Is(err, context.DeadlineExceeded) {
			// The connection may be broken without an error; the next call opens a
			// new one.
			c.caller.Drop(addr)
		}
	}
}
