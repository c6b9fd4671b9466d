package idempotency

import (
	"slices"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/table"
)

// recovery reads the records of a unit from a copy.
type recovery struct {
	assignment Assignment
	sources    []table.MemberID
	next       int
	store      *store
	// request is on its way to from; a zero Seq means that none is.
	request FetchRequest
	from    table.MemberID
	sentAt  clock.Reading
}

// recover reads the records of u. Members that could be read from at an
// earlier epoch remain candidates: this member has served nothing since.
func (o *Owner) recover(u *ownedUnit, a *Assignment) {
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

// fetchFirst asks the next candidate for the first page.
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

// Fetched handles a page of records.
func (o *Owner) Fetched(now clock.Reading, reply FetchReply) []Action {
	o.begin(now)
	u := o.units[reply.Unit]
	if u == nil || u.recovery == nil || u.recovery.request.Seq != reply.Seq || u.recovery.from != reply.From {
		return nil
	}
	rec := u.recovery
	switch {
	case reply.Problem == ProblemStale && reply.Epoch > u.epoch:
		o.drop(u)
		return o.out
	case reply.Problem != "", !reply.Last && len(reply.Records) == 0, !validRecords(reply.Records):
		o.fetchFailed(u)
		return o.out
	}
	for i := range reply.Records {
		rec.store.put(&reply.Records[i])
	}
	rec.store.lostAtMs = max(rec.store.lostAtMs, reply.LostAtMs)
	if !reply.Last {
		o.fetchPage(u, reply.Records[len(reply.Records)-1].Key, reply.Incarnation)
		return o.out
	}
	o.recovered(u)
	return o.out
}

// recovered serves u with the records that were read.
func (o *Owner) recovered(u *ownedUnit) {
	a := u.recovery.assignment
	u.store = u.recovery.store
	u.recovery = nil
	u.store.sortByAge()
	if a.RecordsLost && u.store.lostAtMs == 0 {
		u.store.lostAtMs = wallMs(o.now)
	}
	o.ready(u, &a)
}

// FetchFailed handles a fetch that did not reach its copy.
func (o *Owner) FetchFailed(now clock.Reading, seq uint64) []Action {
	o.begin(now)
	for _, u := range o.order {
		if u.recovery != nil && u.recovery.request.Seq == seq {
			o.fetchFailed(u)
		}
	}
	return o.out
}

// fetchFailed asks the next candidate, at once if it was not asked before and
// otherwise after WriteTimeout.
func (o *Owner) fetchFailed(u *ownedUnit) {
	u.recovery.request.Seq = 0
	if u.recovery.next < len(u.recovery.sources) {
		o.fetchFirst(u)
	}
}

// repeatFetch asks the next candidate if the current one has not answered.
func (o *Owner) repeatFetch(u *ownedUnit) {
	if u.recovery != nil && o.now.Since(u.recovery.sentAt) >= o.cfg.WriteTimeout {
		o.fetchFirst(u)
	}
}
