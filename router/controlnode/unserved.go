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

// unservedTimes measures how long units have no serving owner in the table of
// this leader. The time from a member's failure until it is declared lost is
// not included, because the leader cannot distinguish it from a late renewal.
type unservedTimes struct {
	revision      uint64
	unservedSince map[shard.Unit]clock.Reading
	longest       map[string]time.Duration
}

func newUnservedTimes() *unservedTimes {
	return &unservedTimes{unservedSince: map[shard.Unit]clock.Reading{}, longest: map[string]time.Duration{}}
}

// update records the units that became served or unserved in a new table.
func (u *unservedTimes) update(t *table.Table, now clock.Reading) {
	if t.Revision() == u.revision {
		return
	}
	u.revision = t.Revision()
	t.Each(func(entry *table.Entry) bool {
		since, wasUnserved := u.unservedSince[entry.Unit]
		served := entry.Phase == table.Serving && entry.Owner != ""
		switch {
		case served && wasUnserved:
			u.end(entry.Unit, now.MonoSince(since))
		case !served && !wasUnserved:
			u.unservedSince[entry.Unit] = now
		}
		return true
	})
	for unit := range u.unservedSince {
		if t.Entry(unit) == nil {
			delete(u.unservedSince, unit) // merged or removed
		}
	}
}

// end records that a unit is served again after the time elapsed.
func (u *unservedTimes) end(unit shard.Unit, elapsed time.Duration) {
	delete(u.unservedSince, unit)
	service := config.ServiceOf(unit.Keyspace)
	u.longest[service] = max(u.longest[service], elapsed)
}

// current returns the longest unserved time of each service, including units
// that are unserved now.
func (u *unservedTimes) current(now clock.Reading) map[string]time.Duration {
	times := maps.Clone(u.longest)
	for unit, since := range u.unservedSince {
		service := config.ServiceOf(unit.Keyspace)
		times[service] = max(times[service], now.MonoSince(since))
	}
	return times
}

// LongestUnserved returns for each service the longest time that one of its
// units had no serving owner since this replica became leader. Services whose
// units were always served are not in the map. Replicas that do not lead
// return *peer.NotLeaderError.
func (r *Replica) LongestUnserved(ctx context.Context) (map[string]time.Duration, error) {
	var out map[string]time.Duration
	err := r.Read(ctx, func(*control.State, *control.Controller) { out = r.unserved.current(timesource.Now()) })
	return out, err
}
