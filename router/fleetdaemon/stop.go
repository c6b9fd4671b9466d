package fleetdaemon

import (
	"context"
	"sync"
	"time"

	"bramleyquay.example/router/httpserver"
)

const (
	// drainPeriod is the time for which a stopping process still accepts
	// requests from callers that have not noticed the stop. Requests accepted
	// later might not be answered before the process ends.
	drainPeriod = 2200 * time.Millisecond
	// lastShare is the last part of StopTimeout, at the begin of which requests in
	// progress are ended with a failure, so that it and the responses behind it can be
	// written. Until then the targets work on them.
	lastShare = 6
	// shutdownShare is the part of StopTimeout that remains for the end of the process
	// after its connections were closed, at most maxShutdownReserve.
	shutdownShare      = 10
	maxShutdownReserve = 900 * time.Millisecond
	// transferTimeout bounds the wait for the start of a transfer of leadership, for
	// which the replica may have to wait for its disk.
	transferTimeout = 300 * time.Millisecond
	// leaveTimeout bounds the wait for the reply to the last renewal.
	leaveTimeout = 200 * time.Millisecond
)

// stopSchedule divides StopTimeout.
type stopSchedule struct {
	// endRequests is when requests in progress are ended, endConns when connections
	// are no longer waited for.
	endRequests, endConns time.Time
}

func newStopSchedule(begin time.Time, timeout time.Duration) stopSchedule {
	return stopSchedule{
		endRequests: begin.Add(timeout - timeout/lastShare),
		endConns:    begin.Add(timeout - min(timeout/shutdownShare, maxShutdownReserve)),
	}
}

// stop starts a transfer of leadership. A sidecar process then reports to
// control and to callers that it stops, accepts requests for drainPeriod and
// waits for those in progress. At the last sixth of StopTimeout it ends them.
func (d *Daemon) stop() {
	d.stopping.Store(true)
	schedule := newStopSchedule(time.Now(), d.cfg.StopTimeout)
	d.log.Info().Dur("timeout", d.cfg.StopTimeout).Msg("stop requested")
	d.transferLeadership()
	if d.agent == nil {
		return
	}
	d.agent.Leave()
	servers := []*httpserver.Server{d.callerServer, d.gateServer}
	for _, s := range servers {
		s.Drain()
	}
	time.Sleep(min(drainPeriod, time.Until(schedule.endRequests)))
	d.log.Info().Int("callers", d.callerServer.InFlight()).Int("peers", d.gateServer.InFlight()).Msg("no more requests are accepted")
	end := time.AfterFunc(time.Until(schedule.endRequests), d.endRequests)
	defer end.Stop()
	ctx, cancel := context.WithDeadline(context.Background(), schedule.endConns)
	defer cancel()
	var shutdowns sync.WaitGroup
	for _, s := range servers {
		shutdowns.Go(func() { s.Shutdown(ctx) })
	}
	shutdowns.Wait()
	d.leaveQuota()
	if left := d.callerServer.InFlight() + d.gateServer.InFlight(); left > 0 {
		d.log.Warn().Int("requests", left).Dur("timeout", d.cfg.StopTimeout).Msg("stop timeout is over; requests in progress are aborted")
	}
}

// leaveQuota gives up the process's part of the limits of accounts.
func (d *Daemon) leaveQuota() {
	ctx, cancel := context.WithTimeout(context.Background(), min(leaveTimeout, d.cfg.StopTimeout/(2*shutdownShare)))
	defer cancel()
	d.agent.LeaveQuota(ctx)
}

func (d *Daemon) transferLeadership() {
	if d.replica == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), min(transferTimeout, d.cfg.StopTimeout/lastShare))
	defer cancel()
	if err := d.replica.Transfer(ctx); err != nil {
		d.log.Warn().Err(err).Msg("leadership was not transferred")
	}
}

// endRequests ends the requests in progress, of callers and of peers.
func (d *Daemon) endRequests() {
	if left := d.callerServer.InFlight() + d.gateServer.InFlight(); left > 0 {
		d.log.Warn().Int("callers", d.callerServer.InFlight()).Int("peers", d.gateServer.InFlight()).Msg("requests in progress are ended")
	}
	d.callerServer.EndRequests()
	d.gateServer.EndRequests()
}
