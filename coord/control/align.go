package control

import (
	"slices"

	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

// wholeOf returns the shard of a split key if one member owns both and the
// shard has its copies; the key's copies then follow the shard's, so that the
// key can be merged without a loss of records.
func wholeOf(s *State, e *table.Entry, want int) *table.Entry {
	if !e.Unit.IsSplit() || want == 0 {
		return nil
	}
	whole := s.tbl.Entry(shard.Unit{Service: e.Unit.Service, Shard: e.Unit.Shard})
	if whole == nil || whole.Owner != e.Owner || whole.Phase != table.Serving || len(whole.Copies) < want {
		return nil
	}
	return whole
}

// alignCopies proposes the next step from a split key's copies to its shard's:
// the missing ones join first, and the others go once those are in sync.
func alignCopies(e, whole *table.Entry) (Command, bool) {
	cmd := &ChangeCopies{Unit: e.Unit, Epoch: e.Epoch}
	for _, m := range whole.Copies {
		if !e.Holds(m) {
			cmd.Join = append(cmd.Join, m)
		}
	}
	missing := func(m table.MemberID) bool { return !e.HasCopy(m) }
	if !slices.ContainsFunc(whole.Copies, missing) {
		cmd.Drop = without(slices.Concat(e.Copies, e.Joining), whole.HasCopy)
	}
	return Command{ChangeCopies: cmd}, len(cmd.Join)+len(cmd.Drop) > 0
}
