package control

// Origin is the change id and the author of the operator's change that a command
// belongs to. The change id is empty for the leader's own commands.
type Origin struct {
	ChangeID string
	Author   string
}

// Origin returns the change id and the author of the command.
func (c Command) Origin() Origin {
	switch {
	case c.ApplyDocument != nil:
		return Origin{c.ApplyDocument.ChangeID, c.ApplyDocument.Author}
	case c.BeginMove != nil:
		return Origin{c.BeginMove.ChangeID, c.BeginMove.Author}
	case c.CancelMove != nil:
		return Origin{c.CancelMove.ChangeID, c.CancelMove.Author}
	case c.SplitKey != nil:
		return Origin{c.SplitKey.ChangeID, c.SplitKey.Author}
	case c.MergeKey != nil:
		return Origin{c.MergeKey.ChangeID, c.MergeKey.Author}
	case c.ClearRecordsLost != nil:
		return Origin{c.ClearRecordsLost.ChangeID, c.ClearRecordsLost.Author}
	default:
		return c.adminOrigin()
	}
}

func (c Command) adminOrigin() Origin {
	switch {
	case c.SetDrain != nil:
		return Origin{c.SetDrain.ChangeID, c.SetDrain.Author}
	case c.SetMemberState != nil:
		return Origin{c.SetMemberState.ChangeID, c.SetMemberState.Author}
	case c.RemoveMember != nil:
		return Origin{c.RemoveMember.ChangeID, c.RemoveMember.Author}
	case c.ApproveAction != nil:
		return Origin{c.ApproveAction.ChangeID, c.ApproveAction.Author}
	case c.DismissAction != nil:
		return Origin{c.DismissAction.ChangeID, c.DismissAction.Author}
	default:
		return Origin{}
	}
}
