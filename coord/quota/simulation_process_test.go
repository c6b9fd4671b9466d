package quota

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// runProcess lets a process handle the requests of one step and renew if it is due.
func (sim *simulation) runProcess(p *process) {
	if p.holder == nil {
		if sim.now < p.upAt {
			return
		}
		p.holder = NewHolder(sim.cfg, sim.rng.Uint64())
		p.inFlight, p.waiting, p.refunds = 0, map[string]time.Duration{}, nil
		p.holder.SetLimits(p.clock.at(sim.now), sim.limits)
	}
	if sim.now < p.frozenUntil {
		return
	}
	now := p.clock.at(sim.now)
	for _, name := range p.refunds {
		// Other refunds count when the leader gets them.
		if !p.holder.HasAllotment(now, name) {
			continue
		}
		p.holder.Refund(now, name)
		sim.spent[name].spend(sim.now, -1)
	}
	p.refunds = nil
	for _, name := range slices.Sorted(maps.Keys(sim.spent)) {
		sim.runTraffic(p, now, name)
	}
	if sim.now >= p.nextRenewal && sim.now >= p.inFlight {
		p.inFlight = sim.now + 800*time.Millisecond
		p.nextRenewal = sim.now + 400*time.Millisecond
		p.sent = now
		report := p.holder.Report(now)
		if sim.now >= p.cutUntil {
			sim.send(message{from: p, sent: now, report: report})
		}
	}
}

// runTraffic sends the requests of one step.
func (sim *simulation) runTraffic(p *process, now time.Duration, name string) {
	expected := p.traffic[name] * stepTime.Seconds()
	n := int(expected)
	if sim.rng.Float64() < expected-float64(n) {
		n++
	}
	if since, ok := p.waiting[name]; ok {
		switch {
		case p.holder.Take(now, name):
			sim.admit(p, name)
		case sim.now-since < 150*time.Millisecond:
			return
		default:
			p.holder.RetryAfter(now, name)
			p.refused++
		}
		delete(p.waiting, name)
		p.holder.AddWaiting(name, -1)
	}
	for range n {
		p.holder.Request(now, name)
		if p.holder.Take(now, name) {
			sim.admit(p, name)
			continue
		}
		if !p.holder.MayGetToken(now, name) {
			p.holder.RetryAfter(now, name)
			p.refused++
			continue
		}
		p.waiting[name] = sim.now
		p.holder.AddWaiting(name, 1)
		p.nextRenewal = min(p.nextRenewal, sim.now+stepTime)
		return
	}
}

// admit counts an admitted request.
func (sim *simulation) admit(p *process, name string) {
	p.admitted++
	if p.holder.ShouldRenew(name) {
		p.nextRenewal = min(p.nextRenewal, sim.now+50*time.Millisecond)
	}
	if s := sim.spent[name]; !s.spend(sim.now, 1) && sim.violation == "" {
		sim.violation = fmt.Sprintf("%s at %s: %.2f used, bound %+v", name, sim.now, s.used, s.bound(sim.now))
	}
	if sim.rng.IntN(50) == 0 {
		p.refunds = append(p.refunds, name)
	}
}
