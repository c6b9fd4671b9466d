package fleetdaemon

import (
	"context"
	"sync"
	"time"
)

const (
	// drainPeriod is the time for which a stopping process still accepts
	// requests from callers that have not noticed the stop. Requests accepted
	// later might not be answered before the process ends.
	drainPeriod = 2200 * time.Millisecond
	// shutdownReserve is the part of StopTimeout that remains for the end of the
	// process after all requests were answered or aborted.
	shutdownReserve = 900 * time.Millisecond
)

// stop starts a transfer of leadership. A sidecar process then reports to
// control and to callers that it stops, accepts requests for drainPeriod and
// waits for those in progress, all until shutdownReserve before the end of
// StopTimeout.
func (d *Daemon) stop() {
	d.stopping.Store(true)
	d.log.Info().Dur("timeout", d.cfg.StopTimeout).Msg("stop requested")
	ctx, cancel := context.WithTimeout(context.Background(), d.cfg.StopTimeout-shutdownReserve)
	defer cancel()
	if d.replica != nil {
		if err := d.replica.Transfer(ctx); err != nil {
			d.log.Warn().Err(err).Msg("leadership was not transferred")
		}
	}
	if d.agent == nil {
		return
	}
	d.agent.Leave()
	d.callerServer.Drain()
	d.gateServer.Drain()
	select {
	case <-time.After(drainPeriod):
	case <-ctx.Done():
	}
	d.log.Info().Int("callers", d.callerServer.InFlight()).Int("peers", d.gateServer.InFlight()).Msg("no more requests are accepted")
	var shutdowns sync.WaitGroup
	shutdowns.Go(func() { d.callerServer.Shutdown(ctx) })
	shutdowns.Go(func() { d.gateServer.Shutdown(ctx) })
	shutdowns.Wait()
	if left := d.callerServer.InFlight() + d.gateServer.InFlight(); left > 0 {
		d.log.Warn().Int("requests", left).Dur("timeout", d.cfg.StopTimeout).Msg("stop timeout is over; requests in progress are aborted")
	}
}
