package idempotency

import (
	"slices"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/table"
)

// recovery is the state of fetching the records of a unit from a copy.
type recovery struct {
	assignment Assignment
	// sources are the members to fetch from, tried in turn; next counts the tries.
	sources []table.MemberID
	next    int
	// store is the records fetched so far.
	store *store
	// request was sent to from; a zero Seq means that no reply is awaited.
	request FetchRequest
	from    table.MemberID
	sentAt  clock.Reading
}

// startRecovery fetches the records of u. The sources of an unfinished recovery of
// an earlier epoch remain candidates, after those of a: this member has served no
// request since. Whether another member owned the unit in between is not checked.
func (o *Owner) startRecovery(u *ownedUnit, a *Assignment) {
	sources := a.candidates(o.cfg.Self.ID)
	if u.recovery != nil {
		for _, id := range u.recovery.sources {
			if !slices.Contains(sources, id) {
				sources = append(sources, id)
			}
		}
	}
	u.recovery = &recovery{assignment: *a, sources: sources, sentAt: o.now}
	o.fetchFirst(u)
}

// fetchFirst requests the first page from the next candidate. Without candidates the
// unit waits for its next assignment.
func (o *Owner) fetchFirst(u *ownedUnit) {
	rec := u.recovery
	if len(rec.sources) == 0 {
		return
	}
	rec.from = rec.sources[rec.next%len(rec.sources)]
	rec.next++
	rec.store = newStore(rec.assignment.Lifetime)
	o.fetchPage(u, "", 0)
}

func (o *Owner) fetchPage(u *ownedUnit, after string, incarnation uint64) {
	rec := u.recovery
	rec.sentAt = o.now
	rec.request = FetchRequest{
		Seq: o.nextSeq(), Unit: u.unit, Epoch: u.epoch, Owner: o.cfg.Self.ID, After: after, Incarnation: incarnation,
	}
	o.emit(Fetch{From: rec.from, FetchRequest: rec.request})
}

// Fetched handles the reply to a fetch.
func (o *Owner) Fetched(now clock.Reading, reply FetchReply) []Action {
	o.startEvent(now)
	u := o.units[reply.Unit]
	if u == nil || u.recovery == nil || u.recovery.request.Seq != reply.Seq || u.recovery.from != reply.From {
		return nil
	}
	rec := u.recovery
	switch {
	case reply.Reason == RejectStaleEpoch && reply.Epoch > u.epoch:
		o.dropUnit(u)
		return o.actions
	case reply.Reason != "", !reply.Last && len(reply.Records) == 0, !validRecords(reply.Records):
		o.fetchFailed(u)
		return o.actions
	}
	for i := range reply.Records {
		rec.store.put(&reply.Records[i])
	}
	rec.store.lostAtMs = max(rec.store.lostAtMs, reply.LostAtMs)
	if !reply.Last {
		o.fetchPage(u, reply.Records[len(reply.Records)-1].Key, reply.Incarnation)
		return o.actions
	}
	o.finishRecovery(u)
	return o.actions
}

// finishRecovery begins to serve u with the records that were fetched.
func (o *Owner) finishRecovery(u *ownedUnit) {
	a := u.recovery.assignment
	u.store = u.recovery.store
	u.recovery = nil
	u.store.sortByAge()
	if a.RecordsLost && u.store.lostAtMs == 0 {
		u.store.lostAtMs = wallMs(o.now)
	}
	o.ready(u, &a)
}

// FetchFailed handles the fetch with sequence number seq, which did not reach its
// copy.
func (o *Owner) FetchFailed(now clock.Reading, seq uint64) []Action {
	o.startEvent(now)
	for _, u := range o.order {
		if u.recovery != nil && u.recovery.request.Seq == seq {
			o.fetchFailed(u)
		}
	}
	return o.actions
}

// fetchFailed tries the next candidate: at once if it was not tried before, and
// otherwise with the next retryFetch after WriteTimeout.
func (o *Owner) fetchFailed(u *ownedUnit) {
	u.recovery.request.Seq = 0
	if u.recovery.next < len(u.recovery.sources) {
		o.fetchFirst(u)
	}
}

// retryFetch tries the next candidate if the current one has not replied within
// WriteTimeout.
func (o *Owner) retryFetch(u *ownedUnit) {
	if u.recovery != nil && o.now.Since(u.recovery.sentAt) >= o.cfg.WriteTimeout {
		o.fetchFirst(u)
	}
}
