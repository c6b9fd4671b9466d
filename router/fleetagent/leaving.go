package fleetagent

import (
	"context"
	"slices"
	"time"

	"bramleyquay.example/coord/fleet"
	"bramleyquay.example/coord/ranges"
	"bramleyquay.example/router/fleetnode"
	"bramleyquay.example/router/timesource"
)

// departureTimeout bounds the wait until control has recorded a departure. Targets wait
// for an answer for a second.
const departureTimeout = 700 * time.Millisecond

// departureState is what the process knows of targets that have announced that they stop.
// The agent's mutex guards it.
type departureState struct {
	known fleet.Departures
	// recorded are the departures that the control group has recorded.
	recorded fleet.Departures
	// loaded is set once the process has had a reply of control: known has the departures
	// that earlier starts of the process have acknowledged.
	loaded bool
	// pending are those that are still to be recorded, also if no caller waits for it any
	// more; recording is set while that is tried.
	pending   []fleet.Departure
	recording bool
}

// maxPendingDepartures bounds the departures that wait to be recorded. A process has one
// target at a time.
const maxPendingDepartures = 8

func (d *departureState) addPending(departure fleet.Departure) {
	if slices.Contains(d.pending, departure) {
		return
	}
	d.pending = append(d.pending, departure)
	if len(d.pending) > maxPendingDepartures {
		d.pending = d.pending[1:]
	}
}

// TargetLeaving records that a target has announced that it stops. The target finishes
// the requests that it has and counts as draining, also if its first announcement arrives
// later. Arrived of the notice is set by TargetLeaving. It blocks until the control group
// has recorded the departure, which then holds after any restart, or ctx or
// departureTimeout ends. After an error the notice must not be acknowledged, although the
// process keeps to it, unless the error is ErrMalformedID.
func (a *Agent) TargetLeaving(ctx context.Context, n fleet.Notice) error {
	if n.Target == "" || !isID(n.Target) {
		return ErrMalformedID
	}
	return a.recordDeparture(ctx, a.noteLeaving(n))
}

// noteLeaving applies a notice in this process and returns the departure that it says.
func (a *Agent) noteLeaving(n fleet.Notice) fleet.Departure {
	n.Arrived = timesource.Now().Wall.Milliseconds()
	a.mu.Lock()
	defer a.mu.Unlock()
	t := &a.target
	if n.Incarnation == 0 && !n.Abandoned && t.id == n.Target {
		n.Incarnation = t.incarnation // by the clock of the target, which may be ahead
	}
	departure := a.departures.known.Record(n)
	switch {
	case t.id == n.Target && a.departures.known.Includes(n.Target, t.incarnation):
		a.setLeaving("announced")
	case t.id == n.Target:
		a.log.Warn().Str("target", n.Target).Int64("life", n.Incarnation).Int64("newestLife", t.incarnation).Bool("abandoned", n.Abandoned).
			Msg("notice ignored: it may be of an earlier incarnation")
	default:
		a.log.Info().Str("target", n.Target).Int64("life", n.Incarnation).Msg("target that has not announced itself is leaving")
	}
	return departure
}

// RecordDraining records the departure of an incarnation whose announcement says that it
// drains. It blocks and fails like TargetLeaving.
func (a *Agent) RecordDraining(ctx context.Context, target string, incarnation int64) error {
	departure := fleet.Departure{Target: target, Last: incarnation}
	a.mu.Lock()
	a.departures.known.Add(departure)
	if t := &a.target; t.id == target && t.incarnation <= incarnation {
		a.setLeaving("drains")
	}
	a.mu.Unlock()
	return a.recordDeparture(ctx, departure)
}

// recordDeparture makes the control group record a departure, unless it has.
func (a *Agent) recordDeparture(ctx context.Context, departure fleet.Departure) error {
	a.mu.Lock()
	recorded := a.departures.recorded.Includes(departure.Target, departure.Last)
	a.mu.Unlock()
	if recorded {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, departureTimeout)
	defer cancel()
	order := fleetnode.ProposeRequest{RecordDeparture: &fleet.RecordDeparture{Process: a.cfg.Process, Departure: departure}}
	var result fleet.Result
	err := a.leaderClient.CallLeader(ctx, fleetnode.MethodPropose, order, &result)
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		a.departures.addPending(departure)
		a.log.Warn().Str("target", departure.Target).Int64("life", departure.Last).Err(err).Msg("departure of the target is not recorded by control yet")
		return err
	}
	a.departures.recorded.Add(departure)
	a.log.Info().Str("target", departure.Target).Int64("life", departure.Last).Msg("departure of the target is recorded by control")
	return nil
}

// recordPending records a pending departure, after each successful renewal until none is
// left. The caller holds mu.
func (a *Agent) recordPending() {
	d := &a.departures
	if d.recording || len(d.pending) == 0 {
		return
	}
	d.recording = true
	next := d.pending[0]
	d.pending = d.pending[1:]
	go func() {
		_ = a.recordDeparture(context.Background(), next) // after an error it is pending again
		a.mu.Lock()
		defer a.mu.Unlock()
		d.recording = false
	}()
}

// loadDepartures takes over the departures that earlier starts of the process have had
// recorded. The caller holds mu.
func (a *Agent) loadDepartures(list []fleet.Departure) {
	if a.departures.loaded {
		return
	}
	a.departures.loaded = true
	for _, departure := range list {
		a.departures.known.Add(departure)
		a.departures.recorded.Add(departure)
	}
	if t := &a.target; t.id != "" && a.departures.known.Includes(t.id, t.incarnation) {
		a.setLeaving("recorded by control")
	}
	a.notifyChange()
}

// RecordLeaving records that an answer of an incarnation of the target says that it
// stops.
func (a *Agent) RecordLeaving(h ranges.Holder) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.issuer == nil || a.issuer.Holder() != h || a.target.leaving {
		return
	}
	departure := fleet.Departure{Target: h.Target, Last: h.Incarnation}
	a.departures.known.Add(departure)
	a.departures.addPending(departure)
	a.setLeaving("said in an answer")
}

// setLeaving makes the target count as draining. The caller holds mu.
func (a *Agent) setLeaving(how string) {
	if a.target.leaving {
		return
	}
	a.target.leaving = true
	a.log.Info().Str("target", a.target.id).Str("how", how).Msg("target is leaving")
	a.RenewNow()
	a.notifyChange()
}
