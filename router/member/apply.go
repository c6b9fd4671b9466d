package member

import (
	"encoding/json"

	"bramleyquay.example/coord/config"
	"bramleyquay.example/coord/control"
	"bramleyquay.example/router/timesource"
)

// apply applies a reply to sent: first the view, then the lease. A reply to a
// renewal of an earlier incarnation is ignored. The lease is not renewed unless
// the view has the table revision that the reply requires.
func (a *Agent) apply(sent control.Renewal, reply *control.RenewalReply) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if sent.Incarnation != a.incarnation {
		return
	}
	if reply.Status == control.RenewalFenced {
		a.handleFenced()
		return
	}
	old := a.view.Load()
	next, err := old.merge(reply)
	if err != nil {
		a.log.Warnf("reply to the renewal ignored: %v", err)
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
		a.log.Infof("lease granted by %s", a.renewalAddr)
	}
}

// handleFenced ends the lease and takes a new incarnation, which the next
// renewal registers, because control has declared the present one lost,
// replaced it or removed it. The caller holds mu.
func (a *Agent) handleFenced() {
	a.holder.Revoke()
	a.hadLease = false
	a.log.Warnf("fenced: control declared incarnation %x lost; registering anew", a.incarnation)
	a.incarnation = newIncarnation()
	next := *a.view.Load()
	next.Incarnation = a.incarnation
	a.publish(&next)
	a.RenewNow()
}

// publish replaces the view and notifies those that wait for a change. The
// caller holds mu.
func (a *Agent) publish(v *View) {
	a.view.Store(v)
	a.onView(v)
	close(a.changed)
	a.changed = make(chan struct{})
}

// merge returns the view after a reply. Revisions never decrease. It returns
// an error if the table's delta does not fit the table or the document cannot
// be decoded.
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
	if newer := reply.Config; newer != nil && newer.Revision > v.ConfigRevision {
		doc := &config.Document{}
		if err := json.Unmarshal(newer.Document, doc); err != nil {
			return nil, err
		}
		next.Document, next.ConfigRevision = doc, newer.Revision
	}
	return &next, nil
}
