package controlnode

import (
	"context"
	"maps"
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/config"
	"bramleyquay.example/coord/control"
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
	"bramleyquay.example/router/timesource"
)

// gaps measures for how long units have no serving owner by the table of this
// leader. The time from a failure until its loss is declared is not included,
// because the leader cannot tell it from a late renewal.
type gaps struct {
	revision uint64
	open     map[shard.Unit]clock.Reading
	longest  map[string]time.Duration
}

func newGaps() *gaps {
	return &gaps{open: map[shard.Unit]clock.Reading{}, longest: map[string]time.Duration{}}
}

// follow takes over a new table.
func (g *gaps) follow(t *table.Table, now clock.Reading) {
	if t.Revision() == g.revision {
		return
	}
	g.revision = t.Revision()
	t.Each(func(e *table.Entry) bool {
		since, was := g.open[e.Unit]
		served := e.Phase == table.Serving && e.Owner != ""
		switch {
		case served && was:
			g.end(e.Unit, now.MonoSince(since))
		case !served && !was:
			g.open[e.Unit] = now
		}
		return true
	})
	for u := range g.open {
		if t.Entry(u) == nil {
			delete(g.open, u) // merged or removed
		}
	}
}

func (g *gaps) end(u shard.Unit, took time.Duration) {
	delete(g.open, u)
	service := config.ServiceOf(u.Keyspace)
	g.longest[service] = max(g.longest[service], took)
}

// current returns the longest gap of each service, open ones included.
func (g *gaps) current(now clock.Reading) map[string]time.Duration {
	out := maps.Clone(g.longest)
	for u, since := range g.open {
		service := config.ServiceOf(u.Keyspace)
		out[service] = max(out[service], now.MonoSince(since))
	}
	return out
}

// LongestUnserved returns for each service the longest time that one of its units
// had no serving owner since this replica took office.
func (n *Replica) LongestUnserved(ctx context.Context) (map[string]time.Duration, error) {
	var out map[string]time.Duration
	err := n.Read(ctx, func(*control.State, *control.Controller) { out = n.gaps.current(timesource.Now()) })
	return out, err
}

// Addresses returns the peer addresses of the group's replicas by id.
func (n *Replica) Addresses(ctx context.Context) (map[string]string, error) {
	out := map[string]string{}
	err := n.do(ctx, func() {
		if n.raft == nil {
			return
		}
		m := n.raft.Status().Membership
		for _, id := range append(m.Voters, m.Learners...) {
			out[string(id)] = n.address(id)
		}
	})
	return out, err
}
