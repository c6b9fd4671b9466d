package daemon

import (
	"context"
	"slices"
	"time"

	"bramleyquay.example/coord/raft"
)

const (
	// leavePoll is the time between two looks whether everything has moved.
	leavePoll = 20 * time.Millisecond
	// settleTime lets other processes learn that this one has left before its
	// listeners close; the renewal after the last move spreads it.
	settleTime = 300 * time.Millisecond
)

// shutdown stops the process without cutting a request: leadership and units
// move away first, then the listeners close, then requests in progress end.
func (d *Daemon) shutdown(kill context.Context) error {
	limit := time.Duration(d.cfg.ShutdownTimeoutMs) * time.Millisecond
	ctx, cancel := context.WithTimeout(kill, limit)
	defer cancel()
	d.log.Infof("graceful shutdown begins, at most %s", limit)
	d.agent.Leave()
	d.transferLeadership(ctx)
	if !d.awaitRelease(ctx) {
		d.log.Warnf("units have not moved away in time; they will be taken over after the lease")
	}
	pause(ctx, settleTime)
	if err := d.closeServers(ctx); err != nil {
		return err
	}
	d.log.Infof("graceful shutdown is complete")
	return nil
}

func (d *Daemon) transferLeadership(ctx context.Context) {
	if d.control == nil {
		return
	}
	if err := d.control.Transfer(ctx, func(raft.ID) bool { return false }); err != nil {
		d.log.Warnf("leadership stays here: %v", err)
	}
}

// awaitRelease waits until control says that nothing depends on this member.
func (d *Daemon) awaitRelease(ctx context.Context) bool {
	for !d.agent.View().MayStop {
		if !pause(ctx, leavePoll) {
			return false
		}
	}
	return true
}

// closeServers stops accepting and waits for the requests in progress.
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

func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
