package bqctl

import (
	"io"
	"os"

	"bramleyquay.example/router/document"
	"bramleyquay.example/router/settings"
)

type validateCommand struct {
	File string `arg:"" help:"Document file; - reads the standard input."`
}

// Run prints every finding of a document. It calls no cluster.
func (c *validateCommand) Run(s *session) error {
	_, findings, err := s.readDocument(c.File)
	if err != nil {
		return err
	}
	s.print("%s: the document can be applied", c.File)
	return s.printJSON(map[string]any{"findings": findings, "exitCode": ExitDone})
}

// maxDocumentBytes bounds what is read from the standard input, in bytes. It is
// above strictjson.MaxBytes, so that a document that is cut there is reported
// as too large.
const maxDocumentBytes = 4 << 20

// readText reads a file, or the standard input if it is named -.
func (s *session) readText(file string) ([]byte, error) {
	var text []byte
	var err error
	if file == "-" {
		text, err = io.ReadAll(io.LimitReader(s.env.Stdin, maxDocumentBytes))
	} else {
		text, err = os.ReadFile(file)
	}
	if err != nil {
		return nil, invalid("cannot read the document: " + err.Error())
	}
	return text, nil
}

// readDocument reads a document and prints its findings. It returns the text
// and the warnings, or an error if the document must not be applied.
func (s *session) readDocument(file string) (string, []settings.Finding, error) {
	text, err := s.readText(file)
	if err != nil {
		return "", nil, err
	}
	_, findings := document.Parse(file, text)
	for _, f := range findings {
		s.print("%s", f)
	}
	if settings.HasErrors(findings) {
		return "", nil, s.refuse(findings)
	}
	return string(text), findings, nil
}

// refuse returns the error that ends a command because of findings. The caller
// has printed them as text; with --json refuse prints them.
func (s *session) refuse(findings []settings.Finding) error {
	if err := s.printJSON(map[string]any{"findings": findings, "exitCode": ExitInvalid}); err != nil {
		return err
	}
	return &exitError{code: ExitInvalid, text: "the document has findings", shown: true}
}

type documentCommand struct {
	Revision uint64 `arg:"" optional:"" help:"Revision; the newest if not given."`
}

// Run prints the text of a revision.
func (c *documentCommand) Run(s *session) error {
	ctx, cancel, err := s.connect()
	if err != nil {
		return err
	}
	defer cancel()
	reply, err := s.remote.Document(ctx, c.Revision)
	if err != nil {
		return err
	}
	s.print("%s", reply.Text)
	return s.printJSON(reply)
}

type historyCommand struct {
	Limit int `help:"Number of changes to list; 0 lists all." default:"20"`
}

// Run prints the accepted changes.
func (c *historyCommand) Run(s *session) error {
	ctx, cancel, err := s.connect()
	if err != nil {
		return err
	}
	defer cancel()
	changes, err := s.remote.History(ctx)
	if err != nil {
		return err
	}
	if c.Limit > 0 && len(changes) > c.Limit {
		changes = changes[:c.Limit]
	}
	if len(changes) == 0 {
		s.print("there are no changes yet")
	}
	rows := [][]string{{"REVISION", "TIME", "AUTHOR", "SUMMARY"}}
	for _, change := range changes {
		rows = append(rows, []string{formatUint(change.Revision), change.At.Format("2006-01-02 15:04:05 MST"), change.Author, change.Summary})
	}
	if len(changes) > 0 {
		s.print("%s", table(rows))
	}
	return s.printJSON(changes)
}
