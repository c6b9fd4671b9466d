package gate

import (
	"time"

	"bramleyquay.example/coord/config"
	"bramleyquay.example/coord/idempotency"
	"bramleyquay.example/coord/table"
	"bramleyquay.example/router/member"
)

// assignments returns a function that converts a table entry into the assignment
// of a payment unit. The function returns false if this member does not own the
// unit or the service has no payments.
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
			Copies:      g.copyMembers(v.Directory, e.Copies),
			Syncing:     g.copyMembers(v.Directory, e.SyncingCopies),
			Sources:     g.copyMembers(v.Directory, e.Sources),
			Lifetime:    time.Duration(s.WithDefaults().RecordLifetimeMs) * time.Millisecond,
		}, true
	}
}

// copyMembers returns the members with their data centres. A member that is not
// registered counts as one in this data centre, so that it is never taken for a
// copy in another one.
func (g *Gate) copyMembers(d *member.Directory, ids []table.MemberID) []idempotency.Member {
	list := make([]idempotency.Member, 0, len(ids))
	for _, id := range ids {
		c := idempotency.Member{ID: id, DataCentre: g.cfg.DataCentre}
		if m, ok := d.Member(id); ok {
			c.DataCentre = m.DataCentre
		}
		list = append(list, c)
	}
	return list
}
