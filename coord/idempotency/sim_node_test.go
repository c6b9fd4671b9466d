package idempotency_test

import (
	"fmt"
	"time"

	"bramleyquay.example/coord/idempotency"
	"bramleyquay.example/coord/outcome"
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

// node is one member, restarted with a new incarnation after each stop.
type node struct {
	sim         *sim
	index       int
	id          table.MemberID
	dataCentre  string
	incarnation uint64
	owner       *idempotency.Owner
	copy        *idempotency.CopyStore
	view        []simEntry
	dead        bool
	frozen      bool
	// inbox are the events that arrived while the process was frozen.
	inbox []func()
}

func (n *node) member() idempotency.Member {
	return idempotency.Member{ID: n.id, DataCentre: n.dataCentre}
}

// restart starts a new process with a new incarnation and no records.
func (n *node) restart() {
	n.sim.nextInc++
	n.incarnation, n.dead, n.frozen, n.inbox = n.sim.nextInc, false, false, nil
	// Pages of a few records make transfers take several messages.
	n.owner = idempotency.NewOwner(idempotency.Config{Self: n.member(), PageBytes: 400})
	n.copy = idempotency.NewCopyStore(idempotency.CopyConfig{Self: n.id, Incarnation: n.incarnation, PageBytes: 400})
	n.view = []simEntry{{owner: -1}, {owner: -1}}
}

// do runs f in the current process: at once, or when the process is no longer
// frozen. It does nothing if the process is dead.
func (n *node) do(f func()) {
	switch {
	case n.dead:
	case n.frozen:
		n.inbox = append(n.inbox, f)
	default:
		f()
	}
}

// every runs f in the current process at intervals of d. Runs are skipped while the
// process is frozen or dead.
func (n *node) every(d time.Duration, f func()) {
	n.sim.after(d, func() {
		if !n.frozen {
			n.do(f)
		}
		n.every(d, f)
	})
}

func (n *node) resume() {
	inbox := n.inbox
	n.frozen, n.inbox = false, nil
	for _, f := range inbox {
		n.do(f)
	}
}

func (n *node) tick() {
	n.perform(n.owner, n.owner.Tick(n.sim.clock()))
	n.copy.Tick(n.sim.clock())
}

func (n *node) renew() {
	inc := n.incarnation
	n.sim.send(n.index, controlIndex, func() { n.sim.control.renewed(n.index, inc) })
}

// restartAfterLoss restarts as a new incarnation, because control has declared
// the former one lost. Requests at the target get no answer, because dispatch drops
// the results of an earlier incarnation.
func (n *node) restartAfterLoss(inc uint64) {
	if n.incarnation != inc {
		return
	}
	for i := range n.view {
		n.perform(n.owner, n.owner.Release(n.sim.clock(), simUnit(i)))
	}
	n.restart()
}

// apply applies the entries of a table that are newer than the known ones.
func (n *node) apply(newer []simEntry) {
	var all []*table.Entry
	for i, e := range newer {
		if e.epoch > n.view[i].epoch {
			n.view[i] = e
			n.applyEntry(i, e)
		}
		all = append(all, n.view[i].table(n.sim, i))
	}
	n.copy.Prune(n.sim.clock(), entries(all...))
}

func (n *node) applyEntry(i int, e simEntry) {
	now := n.sim.clock()
	if e.owner != n.index {
		n.perform(n.owner, n.owner.Release(now, simUnit(i)))
		return
	}
	n.perform(n.owner, n.owner.ApplyAssignment(now, idempotency.Assignment{
		Unit: simUnit(i), Epoch: e.epoch, RecordsLost: e.recordsLost, NeverSynced: e.neverSynced,
		Copies: n.sim.members(e.copies), Syncing: n.sim.members(e.syncing), Sources: n.sim.members(e.sources),
		LocalRecords: n.copy.Detach(now, simUnit(i), e.epoch),
	}))
}

func (n *node) begin(req idempotency.Request) {
	if n.sim.history.arrived[req.ID] {
		return // a duplicated message, which does not occur with HTTP
	}
	n.sim.history.arrived[req.ID] = true
	n.sim.history.handledBy[req.ID] = n.incarnation
	n.perform(n.owner, n.owner.Begin(n.sim.clock(), req))
	if n.sim.faults && n.sim.chance(0.03) {
		n.sim.after(n.sim.between(0, time.Second), func() {
			delete(n.sim.history.handledBy, req.ID) // the caller no longer waits
			n.do(func() { n.perform(n.owner, n.owner.Cancel(n.sim.clock(), req.ID)) })
		})
	}
}

// fence ends the ownership of a unit that another member owns at a higher epoch.
func (n *node) fence(unit shard.Unit, epoch uint64) {
	n.perform(n.owner, n.owner.Fence(n.sim.clock(), unit, epoch))
}

// perform carries out actions of owner o, which may be the owner of an earlier
// incarnation.
func (n *node) perform(o *idempotency.Owner, actions []idempotency.Action) {
	s := n.sim
	for _, action := range actions {
		switch a := action.(type) {
		case idempotency.Dispatch:
			n.dispatch(o, a.ID)
		case idempotency.Reply:
			s.history.answered(a.ID, result{outcome: outcome.Done, answer: string(a.Response.Body)})
		case idempotency.Refuse:
			s.history.answered(a.ID, result{outcome: a.Refusal.Outcome, reason: a.Refusal.Reason})
		case idempotency.Write:
			n.write(o, a)
		case idempotency.Fetch:
			n.fetch(o, a)
		case idempotency.Synced:
			s.send(n.index, controlIndex, func() { s.control.synced(a) })
		case idempotency.Ready:
			s.send(n.index, controlIndex, func() { s.control.ready(a) })
		case idempotency.Released:
			n.copy.Attach(s.clock(), a.Records)
		}
	}
}

func (n *node) write(o *idempotency.Owner, a idempotency.Write) {
	s, to := n.sim, n.sim.node(a.To)
	s.send(n.index, to.index, func() {
		to.fence(a.Unit, a.Epoch)
		reply := to.copy.Write(s.clock(), a.WriteRequest)
		s.send(to.index, n.index, func() { n.perform(o, o.Acked(s.clock(), reply)) })
	})
}

func (n *node) fetch(o *idempotency.Owner, a idempotency.Fetch) {
	s, from := n.sim, n.sim.node(a.From)
	s.send(n.index, from.index, func() {
		from.fence(a.Unit, a.Epoch)
		reply := from.copy.Fetch(s.clock(), a.FetchRequest)
		s.send(from.index, n.index, func() { n.perform(o, o.Fetched(s.clock(), reply)) })
	})
}

// dispatch sends a request to the target, which runs it even if this process is
// frozen or killed afterwards.
func (n *node) dispatch(o *idempotency.Owner, id uint64) {
	s := n.sim
	if s.chance(0.1) {
		s.history.answered(id, result{outcome: outcome.NotRun})
		n.perform(o, o.NotDispatched(s.clock(), id))
		return
	}
	inc := n.incarnation
	sameIncarnation := func(f func()) func() {
		return func() {
			if n.incarnation == inc {
				f()
			}
		}
	}
	s.after(s.between(0, 20*time.Millisecond), func() {
		body := s.history.ran(id)
		lost := s.faults && s.chance(0.1)
		if lost {
			s.after(200*time.Millisecond, func() {
				n.do(sameIncarnation(func() { n.perform(o, o.ResponseLost(s.clock(), id)) }))
			})
		}
		finished := sameIncarnation(func() {
			// A response to an unknown request must be ignored.
			n.perform(o, o.Finished(s.clock(), id+1_000_000, idempotency.Response{Status: 200, Body: []byte("crossed")}))
			n.perform(o, o.Finished(s.clock(), id, idempotency.Response{Status: 200, Body: []byte(body)}))
		})
		s.after(s.between(0, 400*time.Millisecond), func() {
			if !lost || s.chance(0.5) {
				n.do(finished)
			}
		})
	})
}

func (n *node) String() string { return fmt.Sprintf("%s#%d", n.id, n.incarnation) }
