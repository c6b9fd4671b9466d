package member

import (
	"encoding/json"

	"bramleyquay.example/coord/config"
	"bramleyquay.example/coord/control"
	"bramleyquay.example/router/timesource"
)

// apply takes over a reply: first the view, then the lease.
func (a *Agent) apply(sent control.Renewal, reply *control.RenewalReply) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if sent.Incarnation != a.incarnation {
		return
	}
	if reply.Status == control.RenewalFenced {
		a.fenced()
		return
	}
	old := a.view.Load()
	next, err := old.merge(reply)
	if err != nil {
		a.log.Warnf("reply ignored: %v", err)
		return
	}
	if *next != *old {
		a.publish(next)
	}
	if reply.Status != control.RenewalGranted || next.Table.Revision() < reply.TableRevision {
		return
	}
	if a.holder.RecordGrant(reply.Seq, timesource.Now()) && !a.hadLease {
		a.hadLease = true
		a.log.Infof("lease granted by %s", a.leader)
	}
}

func (a *Agent) fenced() {
	a.holder.Revoke()
	a.hadLease = false
	a.log.Warnf("fenced: control declared incarnation %x lost; registering anew", a.incarnation)
	a.incarnation = newIncarnation()
	next := *a.view.Load()
	next.Incarnation = a.incarnation
	a.publish(&next)
	a.RenewNow()
}

// publish makes a view current. The caller holds mu.
func (a *Agent) publish(v *View) {
	a.view.Store(v)
	a.onView(v)
	close(a.changed)
	a.changed = make(chan struct{})
}

// merge returns the view after a reply. Revisions never fall.
func (v *View) merge(reply *control.RenewalReply) (*View, error) {
	next := *v
	next.Draining, next.MayStop = reply.Draining, reply.MayStop
	next.Directory = v.Directory.apply(reply.Directory)
	if reply.Table != nil {
		t, err := v.Table.Apply(*reply.Table)
		if err != nil {
			return nil, err
		}
		next.Table = t
	}
	if c := reply.Config; c != nil && c.Revision > v.ConfigRevision {
		doc := &config.Document{}
		if err := json.Unmarshal(c.Document, doc); err != nil {
			return nil, err
		}
		next.Document, next.ConfigRevision = doc, c.Revision
	}
	return &next, nil
}
