package bqctl

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"bramleyquay.example/router/document"
	"bramleyquay.example/router/operator"
	"bramleyquay.example/router/settings"
)

type applyCommand struct {
	File string  `arg:"" help:"Document file; - reads the standard input and needs --yes."`
	Yes  bool    `help:"Do not ask."`
	Base *uint64 `help:"Revision that the file was made from; the newest if not given. The change is refused if the newest is another one."`
}

// Run applies the document in a file.
func (c *applyCommand) Run(s *session) error {
	if c.File == "-" && !c.Yes {
		return invalid("a document from the standard input needs --yes")
	}
	text, _, err := s.readDocument(c.File)
	if err != nil {
		return err
	}
	ctx, cancel, err := s.connect()
	if err != nil {
		return err
	}
	defer cancel()
	return s.applyText(ctx, change{name: c.File, text: text, base: c.Base, yes: c.Yes})
}

type rollbackCommand struct {
	Revision uint64 `arg:"" help:"Revision to return to."`
	Yes      bool   `help:"Do not ask."`
}

// Run applies the text of an earlier revision as a new revision.
func (c *rollbackCommand) Run(s *session) error {
	ctx, cancel, err := s.connect()
	if err != nil {
		return err
	}
	defer cancel()
	if c.Revision == 0 {
		return invalid("revision 0 is no document; see bqctl history")
	}
	reply, err := s.remote.Document(ctx, c.Revision)
	if err != nil {
		return err
	}
	return s.applyText(ctx, change{name: fmt.Sprintf("revision %d", c.Revision), text: reply.Text, yes: c.Yes})
}

// change is a document to apply.
type change struct {
	name, text string
	// base is the revision that the text was made from, nil for the newest.
	base *uint64
	// yes skips the confirmation.
	yes bool
}

// applyText applies a document after a review. A change that was sent before
// without an answer is resent under its first id, without another confirmation.
func (s *session) applyText(ctx context.Context, c change) error {
	key := s.pending.key("apply", []byte(c.text))
	previous, resend, err := s.pending.find(key)
	if err != nil {
		return err
	}
	if resend && (c.base == nil || *c.base == previous.Base) {
		s.printResend(previous)
		return s.send(c, key, previous)
	}
	if resend {
		if err := s.pending.remove(key); err != nil {
			return err
		}
	}
	base, err := s.review(ctx, c)
	if err != nil || base == nil {
		return err
	}
	recorded, _, err := s.pending.record(key, *base)
	if err != nil {
		return err
	}
	return s.send(c, key, recorded)
}

func (s *session) printResend(c pendingChange) {
	s.print("resending the change that was sent at %s, because its answer is not known", c.Sent.Format("2006-01-02 15:04:05"))
}

// review prints what the change does and asks for confirmation unless c.yes is
// set. It returns the base revision for the change, or nil if there is nothing
// to change.
func (s *session) review(ctx context.Context, c change) (*uint64, error) {
	preview, err := s.remote.Preview(ctx, c.text)
	if err != nil {
		return nil, err
	}
	if settings.HasErrors(preview.Findings) {
		s.printFindings(c.name, preview.Findings)
		return nil, s.refuse(preview.Findings)
	}
	base := preview.Base
	if c.base != nil {
		base = *c.base
	}
	if preview.Diff == "" && base == preview.Base {
		s.print("nothing to change: revision %d already is this document", base)
		return nil, s.printJSON(map[string]any{"revision": base, "already": true})
	}
	s.print("difference to revision %d:\n%s", preview.Base, strings.TrimSuffix(preview.Diff, "\n"))
	s.print("the change moves %d units, %.1f %% of all units", preview.UnitsMoved, 100*preview.LoadMoved)
	if base != preview.Base {
		s.print("the file was made from revision %d, but the newest is %d", base, preview.Base)
	}
	if !c.yes {
		if err := s.confirm("Apply " + c.name + "?"); err != nil {
			return nil, err
		}
	}
	return &base, nil
}

// send applies a recorded change and removes its record once the answer is
// definite.
func (s *session) send(c change, key string, recorded pendingChange) error {
	// A new timeout: the time that the operator takes to confirm does not count.
	ctx, cancel := context.WithTimeout(s.ctx, s.globals.Timeout)
	defer cancel()
	reply, err := s.remote.Apply(ctx, operator.ApplyRequest{
		Base: recorded.Base, ChangeID: recorded.ChangeID, Author: s.author(), Text: c.text,
	})
	if err != nil && !retryIsSafe(err) {
		return err
	}
	if endErr := s.pending.remove(key); endErr != nil {
		return endErr
	}
	switch {
	case err != nil:
		return err
	case reply.Conflict != nil:
		return s.conflict(c, recorded.Base, reply)
	case reply.Revision == 0:
		s.printFindings(c.name, reply.Findings)
		return s.refuse(reply.Findings)
	default:
		s.print("revision %d is accepted; bqctl status shows when it is in force everywhere", reply.Revision)
		return s.printJSON(reply)
	}
}

// conflict prints the other change and the difference to it.
func (s *session) conflict(c change, base uint64, reply operator.ApplyReply) error {
	theirs := reply.Conflict
	s.print("conflict: %s was made from revision %d, but %s has saved revision %d; nothing was changed", c.name, base, theirs.Author, theirs.Revision)
	s.print("difference from revision %d to %s:\n%s", theirs.Revision, c.name, strings.TrimSuffix(document.Compare(theirs.Text, c.text), "\n"))
	s.print("merge both changes and apply the result with --base %d", theirs.Revision)
	if err := s.printJSON(reply); err != nil {
		return err
	}
	return &exitError{code: ExitConflict, text: "conflict", shown: true}
}

func (s *session) printFindings(name string, findings []settings.Finding) {
	for _, f := range findings {
		f.File = name
		s.print("%s", f)
	}
}

// retryIsSafe reports whether err says for certain that nothing was changed.
func retryIsSafe(err error) bool {
	var e *operator.Error
	return errors.As(err, &e) && e.RetryIsSafe()
}
