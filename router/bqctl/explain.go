package bqctl

import (
	"fmt"
	"io"
	"os"

	"bramleyquay.example/router/explain"
)

// explainCommand walks from a request's id to its cause.
type explainCommand struct {
	ID    string   `arg:"" help:"Id of the request."`
	Files []string `arg:"" help:"Collected logs of the processes." type:"existingfile"`
}

// Run prints the lines about the request, the changes around it and the cause.
func (c *explainCommand) Run(s *session) error {
	var lines []explain.Line
	for _, name := range c.Files {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		more, err := explain.Read(f)
		_ = f.Close() // it was only read
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		lines = append(lines, more...)
	}
	r, err := explain.ExplainRequest(c.ID, lines)
	if err != nil {
		return err
	}
	printLines(s.env.Stdout, "the request and its calls", r.Lines)
	printLines(s.env.Stdout, "changes noted on its way", r.Around)
	_, err = fmt.Fprintf(s.env.Stdout, "cause: %s\n", clean(r.Cause))
	return err
}

func printLines(w io.Writer, title string, lines []explain.Line) {
	_, _ = fmt.Fprintf(w, "%s:\n", title) // the last write tells
	for _, l := range lines {
		_, _ = fmt.Fprintf(w, "  %s\n", clean(l.Text)) // the last write tells
	}
}
