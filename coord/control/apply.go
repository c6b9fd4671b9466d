package control

// Apply applies the command at a log index. It accepts any input: a command that is
// stale, invalid or empty is refused and leaves the table, the document and the
// directory unchanged. A retry of a change returns the result of its first
// application, including a refusal, unless the leader retries it (willBeReplanned).
func (s *State) Apply(index uint64, c Command) Result {
	s.index = max(s.index, index)
	origin := c.Origin()
	digest := uint64(0)
	if origin.ChangeID != "" {
		digest = commandDigest(c)
		if first, known := s.changes.find(origin.ChangeID); known {
			if first.Digest != digest {
				return s.withRevisions(refuse(RefusedChangeIDReused, "change id "+origin.ChangeID+" was used for another change"))
			}
			return first.Result
		}
	}
	e := s.newEdit()
	res := s.dispatch(e, c)
	e.commit()
	res = s.withRevisions(res)
	if origin.ChangeID != "" && !c.willBeReplanned(res) {
		s.changes.add(changeRecord{ID: origin.ChangeID, Digest: digest, Result: res})
	}
	return res
}

// willBeReplanned reports whether the leader retries an operator's change with a
// newer epoch. The epoch comes from the leader and not from the operator, so
// the refusal as stale is not recorded as the result of the change.
func (c Command) willBeReplanned(res Result) bool {
	return c.BeginMove != nil && res.Refusal == RefusedStale
}

// withRevisions returns r with the current revisions filled in.
func (s *State) withRevisions(r Result) Result {
	r.ConfigRevision = s.documents.last().Revision
	r.TableRevision = s.tbl.Revision()
	return r
}

func (s *State) dispatch(e *edit, c Command) Result {
	switch {
	case c.ApplyDocument != nil:
		return s.applyDocument(e, c.ApplyDocument)
	case c.RegisterMember != nil:
		return s.registerMember(e, c.RegisterMember)
	case c.DeclareMembersLost != nil:
		return s.declareMembersLost(e, c.DeclareMembersLost)
	case c.Assign != nil:
		return s.assign(e, c.Assign)
	case c.BeginMove != nil:
		return s.beginMove(e, c.BeginMove)
	case c.FinishMove != nil:
		return s.finishMove(e, c.FinishMove)
	case c.CancelMove != nil:
		return s.cancelMove(e, c.CancelMove)
	case c.CopySynced != nil:
		return s.copySynced(e, c.CopySynced)
	case c.ChangeCopies != nil:
		return s.changeCopies(e, c.ChangeCopies)
	case c.SplitKey != nil:
		return s.splitKey(e, c.SplitKey)
	case c.MergeKey != nil:
		return s.mergeKey(e, c.MergeKey)
	case c.ClearRecordsLost != nil:
		return s.clearRecordsLost(e, c.ClearRecordsLost)
	default:
		return s.dispatchAdmin(e, c)
	}
}

func (s *State) dispatchAdmin(e *edit, c Command) Result {
	switch {
	case c.SetDrain != nil:
		return s.setDrain(e, c.SetDrain)
	case c.SetMemberState != nil:
		return s.setMemberState(e, c.SetMemberState)
	case c.RemoveMember != nil:
		return s.removeMember(e, c.RemoveMember)
	case c.ProposeAction != nil:
		return s.proposeAction(c.ProposeAction)
	case c.ApproveAction != nil:
		return s.approveAction(e, c.ApproveAction)
	case c.DismissAction != nil:
		return s.dismissAction(c.DismissAction)
	case c.ClearBarrier != nil:
		return s.clearBarrier(e, c.ClearBarrier)
	default:
		return refuse(RefusedInvalid, "the command is empty or of an unknown kind")
	}
}
