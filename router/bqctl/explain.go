package bqctl

import (
	"fmt"
	"io"
	"os"

	"bramleyquay.example/router/explain"
)

// explainCommand explains from collected logs how a request ended.
type explainCommand struct {
	ID    string   `arg:"" help:"Id of the request."`
	Files []string `arg:"" help:"Collected logs of the processes." type:"existingfile"`
}

// Run prints the log lines about the request, other events of the processes
// shortly before it, and the cause of its end.
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
	printLines(s.env.Stdout, "log lines of the request and its calls", r.Lines)
	printLines(s.env.Stdout, "other events of these processes", r.NearbyEvents)
	_, err = fmt.Fprintf(s.env.Stdout, "cause: %s\n", sanitize(r.Cause))
	return err
}

func printLines(w io.Writer, title string, lines []explain.Line) {
	_, _ = fmt.Fprintf(w, "%s:\n", title) // the caller's last write returns the error
	for _, l := range lines {
		_, _ = fmt.Fprintf(w, "  %s\n", sanitize(l.Text)) // the caller's last write returns the error
	}
}
