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

// Run applies a file.
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

// Run applies an earlier text again.
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

// change is a document on its way to the cluster.
type change struct {
	name, text string
	// base is nil for the newest revision.
	base *uint64
	yes  bool
}

// applyText sends a document. A change that was sent before without an answer
// is resent as it was, without another question.
func (s *session) applyText(ctx context.Context, c change) error {
	key := s.pending.key("apply", []byte(c.text))
	before, sent, err := s.pending.find(key)
	if err != nil {
		return err
	}
	if sent && (c.base == nil || *c.base == before.Base) {
		s.sayAgain(before)
		return s.send(c, key, before)
	}
	if sent {
		if err := s.pending.end(key); err != nil {
			return err
		}
	}
	base, err := s.review(ctx, c)
	if err != nil || base == nil {
		return err
	}
	recorded, _, err := s.pending.begin(key, *base)
	if err != nil {
		return err
	}
	return s.send(c, key, recorded)
}

func (s *session) sayAgain(c pendingChange) {
	s.print("sending again the change of %s, whose answer was lost", c.Sent.Format("2006-01-02 15:04:05"))
}

// review shows what the change does and asks. It returns nil if there is
// nothing to change.
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
	s.print("the change moves %d units with %.1f %% of the current load", preview.UnitsMoved, 100*preview.LoadMoved)
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

// send applies a recorded change and forgets it once the answer is definite.
func (s *session) send(c change, key string, recorded pendingChange) error {
	// The operator's time for the answer to a question does not count.
	ctx, cancel := context.WithTimeout(s.ctx, s.globals.Timeout)
	defer cancel()
	reply, err := s.remote.Apply(ctx, operator.ApplyRequest{
		Base: recorded.Base, ChangeID: recorded.ChangeID, Author: s.author(), Text: c.text,
	})
	if err != nil && !retryIsSafe(err) {
		return err
	}
	if endErr := s.pending.end(key); endErr != nil {
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

func (s *session) conflict(c change, base uint64, reply operator.ApplyReply) error {
	theirs := reply.Conflict
	s.print("conflict: %s was made from revision %d, but %s has saved revision %d; nothing was changed", c.name, base, theirs.Author, theirs.Revision)
	s.print("difference from revision %d to %s:\n%s", theirs.Revision, c.name, strings.TrimSuffix(document.Compare(theirs.Text, c.text), "\n"))
	s.print("bring both changes together and apply with --base %d", theirs.Revision)
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

func retryIsSafe(err error) bool {
	var e *operator.Error
	return errors.As(err, &e) && e.RetryIsSafe()
}
