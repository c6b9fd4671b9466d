package gate

import (
	"time"

	"bramleyquay.example/coord/config"
	"bramleyquay.example/coord/idempotency"
	"bramleyquay.example/coord/table"
	"bramleyquay.example/router/member"
)

// assignments returns the function that tells which entries this member owns
// as payment units, and what its records have to know about them.
func (g *Gate) assignments(v *member.View) func(*table.Entry) (idempotency.Assignment, bool) {
	return func(e *table.Entry) (idempotency.Assignment, bool) {
		if e.Owner != g.cfg.Self || e.Phase == table.Unowned || v.Document == nil {
			return idempotency.Assignment{}, false
		}
		s := v.Document.Service(config.ServiceOf(e.Unit.Keyspace))
		if s == nil || !s.Payments {
			return idempotency.Assignment{}, false
		}
		return idempotency.Assignment{
			Unit: e.Unit, Epoch: e.Epoch, RecordsLost: e.RecordsLost,
			NeverSynced: len(e.Sources) == 0 && !e.RecordsLost,
			Copies:      g.holders(v.Directory, e.Copies),
			Joining:     g.holders(v.Directory, e.SyncingCopies),
			Sources:     g.holders(v.Directory, e.Sources),
			Lifetime:    time.Duration(s.WithDefaults().RecordLifetimeMs) * time.Millisecond,
		}, true
	}
}

// holders adds the data centres. A member that is not registered counts as
// being in this data centre, so that it never proves a remote copy.
func (g *Gate) holders(d *member.Directory, ids []table.MemberID) []idempotency.Member {
	list := make([]idempotency.Member, 0, len(ids))
	for _, id := range ids {
		h := idempotency.Member{ID: id, DataCentre: g.cfg.DataCentre}
		if m, ok := d.Member(id); ok {
			h.DataCentre = m.DataCentre
		}
		list = append(list, h)
	}
	return list
}
