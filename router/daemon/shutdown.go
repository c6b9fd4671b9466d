package daemon

import (
	"context"
	"slices"
	"time"

	"bramleyquay.example/coord/lease"
	"bramleyquay.example/coord/raft"
)

const (
	// mayStopPoll is the interval at which awaitRelease checks whether this
	// member may stop.
	mayStopPoll = 20 * time.Millisecond
	// leavePropagationTime is the wait before the listeners close, in which the
	// other processes learn with their next renewal that this one owns nothing
	// any more. It is longer than lease.Config.RenewInterval (250 ms).
	leavePropagationTime = 300 * time.Millisecond
	// acceptShare divides the shutdown timeout: after the first part the listeners close,
	// if the units have not moved away before. Requests accepted by then have time to end.
	acceptShare = 2
	// lastShare is the last part of the shutdown timeout, at the begin of which requests
	// in progress are ended with a failure, so that it can be written.
	lastShare = 6
)

// shutdown stops the process gracefully: it moves the control leadership and the
// units away, closes the listeners and waits for the requests in progress, so that
// none is cut off. Those that have not ended by the last part of the configured
// time-out are ended with a failure that states whether they may have run. It blocks
// at most for the time-out or until kill is cancelled, and returns an error if
// requests are still in progress then.
func (d *Daemon) shutdown(kill context.Context) error {
	limit := time.Duration(d.cfg.ShutdownTimeoutMs) * time.Millisecond
	ctx, cancel := context.WithTimeout(kill, limit)
	defer cancel()
	d.log.Infof("graceful shutdown started, time limit %s", limit)
	end := time.AfterFunc(limit-limit/lastShare, func() {
		d.log.Warnf("requests in progress are ended")
		d.requests.EndRequests()
	})
	moving, stopMoving := context.WithTimeout(ctx, limit/acceptShare)
	defer stopMoving()
	d.agent.Leave()
	released := d.moveAway(moving)
	err := d.closeServers(ctx)
	end.Stop()
	if err != nil {
		return err
	}
	if !released {
		// Units that requests in progress have held can move now. After a lease, other
		// members take them over in any case.
		leased, cancel := context.WithTimeout(ctx, lease.Default().Duration)
		defer cancel()
		d.awaitRelease(leased)
	}
	d.log.Infof("graceful shutdown is complete")
	return nil
}

// moveAway moves the control leadership and the units to other processes, until ctx
// ends. It reports whether the units have moved.
func (d *Daemon) moveAway(ctx context.Context) bool {
	d.transferLeadership(ctx)
	released := d.awaitRelease(ctx)
	if !released {
		d.log.Warnf("units did not move away in time; other members take them over when the lease has expired")
	}
	pause(ctx, leavePropagationTime)
	return released
}

func (d *Daemon) transferLeadership(ctx context.Context) {
	if d.control == nil {
		return
	}
	// Any voter may become the leader.
	if err := d.control.Transfer(ctx, func(raft.ID) bool { return false }); err != nil {
		d.log.Warnf("transfer of the control leadership failed: %v", err)
	}
}

// awaitRelease waits until control reports that this member may stop: it owns and
// receives no units, has no in-sync copy, and no barrier is set. It returns false if
// ctx ends first.
func (d *Daemon) awaitRelease(ctx context.Context) bool {
	for !d.agent.View().MayStop {
		if !pause(ctx, mayStopPoll) {
			return false
		}
	}
	return true
}

// closeServers closes the listeners one after the other, the peer listener last, and
// waits for the requests in progress until ctx ends. It returns at the first
// listener whose requests do not end in time and leaves the others open.
func (d *Daemon) closeServers(ctx context.Context) error {
	d.mu.Lock()
	servers := slices.Clone(d.servers)
	d.mu.Unlock()
	for _, s := range slices.Backward(servers) {
		if err := s.Shutdown(ctx); err != nil {
			return Error.New("requests in progress did not end in time: %v", err)
		}
	}
	return nil
}

// pause waits for d and returns false if ctx ends first.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
