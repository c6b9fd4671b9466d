package control

import (
	"fmt"
	"slices"

	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

func (s *State) assign(e *edit, c *Assign) Result {
	done := 0
	for _, a := range c.Assignments {
		n, ok := e.get(a.Unit)
		if ok && n.Owner == "" && n.Epoch == a.Epoch && s.assignUnit(e, n, a) {
			done++
		}
	}
	if done == 0 {
		return refuse(RefusedStale, "no assignment fits any more")
	}
	return Result{}
}

// entryAt returns the entry of a unit, or a refusal if the unit does not exist
// or has another epoch or phase.
func (s *State) entryAt(e *edit, u shard.Unit, epoch uint64, phase table.Phase) (table.Entry, *Result) {
	n, ok := e.get(u)
	if !ok {
		r := refuse(RefusedNotFound, fmt.Sprintf("no unit %s", u))
		return n, &r
	}
	if n.Epoch != epoch || n.Phase != phase {
		r := refuse(RefusedStale, fmt.Sprintf("unit %s is %s at epoch %d", u, n.Phase, n.Epoch))
		return n, &r
	}
	return n, nil
}

func (s *State) beginMove(e *edit, c *BeginMove) Result {
	n, refused := s.entryAt(e, c.Unit, c.Epoch, table.Serving)
	if refused != nil {
		return *refused
	}
	if n.Owner == c.To {
		return refuse(RefusedInvalid, fmt.Sprintf("member %s owns unit %s already", c.To, c.Unit))
	}
	if !s.mayOwn(c.Unit.Keyspace, c.To) {
		return refuse(RefusedInvalid, fmt.Sprintf("member %s may not own unit %s: not active, another service or another data centre", c.To, c.Unit))
	}
	n.Phase, n.NextOwner = table.Moving, c.To
	e.put(n)
	return Result{}
}

func (s *State) finishMove(e *edit, c *FinishMove) Result {
	n, refused := s.entryAt(e, c.Unit, c.Epoch, table.Moving)
	if refused != nil {
		return *refused
	}
	n.Sources = sourcesAfter(&n)
	n.Owner, n.NextOwner, n.Phase = n.NextOwner, "", table.Serving
	n.Copies = without(n.Copies, only(n.Owner))
	n.SyncingCopies = without(n.SyncingCopies, only(n.Owner))
	n.Epoch++
	e.put(n)
	return Result{}
}

// sourcesAfter returns the members that hold all idempotency records of a unit
// after a move from its owner: the in-sync copies, and the old owner if it had
// read the records. An owner that had not read them may lack records that the
// earlier sources hold; if there is no in-sync copy either, the earlier sources
// remain. A unit whose first copy never was in sync has no records.
func sourcesAfter(n *table.Entry) []table.MemberID {
	switch {
	case len(n.Sources) == 0:
		return slices.Clone(n.Copies)
	case slices.Contains(n.Sources, n.Owner):
		return with(n.Copies, n.Owner)
	case len(n.Copies) > 0:
		return slices.Clone(n.Copies)
	default:
		return n.Sources
	}
}

func (s *State) cancelMove(e *edit, c *CancelMove) Result {
	n, refused := s.entryAt(e, c.Unit, c.Epoch, table.Moving)
	if refused != nil {
		return *refused
	}
	n.Phase, n.NextOwner = table.Serving, ""
	n.Epoch++
	e.put(n)
	return Result{}
}

// copySynced turns a syncing copy into an in-sync copy. If the copy is the owner,
// it records that the owner has read the unit's idempotency records.
func (s *State) copySynced(e *edit, c *CopySynced) Result {
	n, refused := s.entryAt(e, c.Unit, c.Epoch, table.Serving)
	if refused != nil {
		return *refused
	}
	if c.Copy == n.Owner {
		if slices.Contains(n.Sources, n.Owner) {
			return Result{}
		}
		n.Sources = with(n.Copies, n.Owner)
		e.put(n)
		return Result{}
	}
	if !slices.Contains(n.SyncingCopies, c.Copy) {
		return refuse(RefusedStale, fmt.Sprintf("member %s is not joining unit %s", c.Copy, c.Unit))
	}
	n.SyncingCopies = without(n.SyncingCopies, only(c.Copy))
	n.Copies = with(n.Copies, c.Copy)
	n.Sources = with(n.Copies, n.Owner)
	n.Epoch++
	e.put(n)
	return Result{}
}

func (s *State) changeCopies(e *edit, c *ChangeCopies) Result {
	n, refused := s.entryAt(e, c.Unit, c.Epoch, table.Serving)
	if refused != nil {
		return *refused
	}
	before := n
	dropped := func(m table.MemberID) bool { return slices.Contains(c.Drop, m) }
	n.Copies = without(n.Copies, dropped)
	n.SyncingCopies = without(n.SyncingCopies, dropped)
	for _, m := range c.Join {
		if s.mayHoldCopy(&n, m) {
			n.SyncingCopies = with(n.SyncingCopies, m)
		}
	}
	if slices.Equal(before.Copies, n.Copies) && slices.Equal(before.SyncingCopies, n.SyncingCopies) {
		return refuse(RefusedStale, fmt.Sprintf("the copies of unit %s need no such change", c.Unit))
	}
	n.Epoch++
	e.put(n)
	return Result{}
}

func (s *State) clearRecordsLost(e *edit, c *ClearRecordsLost) Result {
	n, ok := e.get(c.Unit)
	if !ok {
		return refuse(RefusedNotFound, fmt.Sprintf("no unit %s", c.Unit))
	}
	if !n.RecordsLost || (c.Since != 0 && c.Since != s.recordsLost[c.Unit]) {
		return refuse(RefusedStale, fmt.Sprintf("the records of unit %s are not lost since table revision %d", c.Unit, c.Since))
	}
	n.RecordsLost = false
	e.put(n)
	return Result{}
}
