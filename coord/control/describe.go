package control

import (
	"fmt"
	"strings"
)

// String returns a one-line description for logs and the operators' history,
// without the text of documents.
func (c Command) String() string {
	switch {
	case c.ApplyDocument != nil:
		return fmt.Sprintf("apply document of %d bytes on revision %d by %s", len(c.ApplyDocument.Text), c.ApplyDocument.Base, c.ApplyDocument.Author)
	case c.RegisterMember != nil:
		m := c.RegisterMember.Member
		return fmt.Sprintf("register member %s, incarnation %d, in data centre %s", m.ID, m.Incarnation, m.DataCentre)
	case c.DeclareMembersLost != nil:
		return c.DeclareMembersLost.describe()
	case c.SetDrain != nil:
		return fmt.Sprintf("%s %s %q", choose(c.SetDrain.On, "drain", "end the drain of"), c.SetDrain.Scope, c.SetDrain.Name)
	case c.SetMemberState != nil:
		leaving := choose(c.SetMemberState.Leaving, ", leaving", "")
		return fmt.Sprintf("set member %s to %s%s", c.SetMemberState.ID, c.SetMemberState.State, leaving)
	case c.RemoveMember != nil:
		return fmt.Sprintf("remove member %s, incarnation %d", c.RemoveMember.ID, c.RemoveMember.Incarnation)
	case c.ProposeAction != nil:
		return fmt.Sprintf("propose action %s: %s", c.ProposeAction.Action.ID, c.ProposeAction.Action.Summary)
	case c.ApproveAction != nil:
		return fmt.Sprintf("approve action %s by %s", c.ApproveAction.ID, c.ApproveAction.Author)
	case c.DismissAction != nil:
		return fmt.Sprintf("dismiss action %s by %s", c.DismissAction.ID, c.DismissAction.Author)
	case c.ClearBarrier != nil:
		return fmt.Sprintf("release key space %s, which waited since table revision %d", c.ClearBarrier.Name, c.ClearBarrier.Revision)
	default:
		return c.describeUnit()
	}
}

func (c Command) describeUnit() string {
	switch {
	case c.Assign != nil:
		return fmt.Sprintf("assign %d units", len(c.Assign.Assignments))
	case c.BeginMove != nil:
		return fmt.Sprintf("move unit %s at epoch %d to %s", c.BeginMove.Unit, c.BeginMove.Epoch, c.BeginMove.To)
	case c.FinishMove != nil:
		return fmt.Sprintf("finish the move of unit %s at epoch %d", c.FinishMove.Unit, c.FinishMove.Epoch)
	case c.CancelMove != nil:
		return fmt.Sprintf("cancel the move of unit %s at epoch %d", c.CancelMove.Unit, c.CancelMove.Epoch)
	case c.CopySynced != nil:
		return fmt.Sprintf("copy %s of unit %s is in sync at epoch %d", c.CopySynced.Copy, c.CopySynced.Unit, c.CopySynced.Epoch)
	case c.ChangeCopies != nil:
		return fmt.Sprintf("change copies of unit %s at epoch %d: drop %v, join %v", c.ChangeCopies.Unit, c.ChangeCopies.Epoch, c.ChangeCopies.Drop, c.ChangeCopies.Join)
	case c.SplitKey != nil:
		return fmt.Sprintf("split key %016x of key space %s", c.SplitKey.Hash, c.SplitKey.Keyspace)
	case c.MergeKey != nil:
		return fmt.Sprintf("merge key %s into its shard", c.MergeKey.Unit)
	case c.ClearRecordsLost != nil:
		return fmt.Sprintf("clear the loss of records of unit %s", c.ClearRecordsLost.Unit)
	default:
		return "empty command"
	}
}

func (c *DeclareMembersLost) describe() string {
	names := make([]string, len(c.Members))
	for i, m := range c.Members {
		names[i] = string(m.ID)
	}
	then := choose(c.KeepUnits, "keep their units for an operator", fmt.Sprintf("assign %d units", len(c.Assignments)))
	return fmt.Sprintf("declare %d members lost (%s) and %s", len(names), strings.Join(names, " "), then)
}

func choose(condition bool, yes, no string) string {
	if condition {
		return yes
	}
	return no
}
