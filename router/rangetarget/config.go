// Package rangetarget is a stand-in target that holds ranges of keys by the
// grants of the process beside it, for demos and tests.
package rangetarget

import (
	"fmt"
	"io"
	"time"

	"github.com/alecthomas/kong"
)

// Config describes a stand-in target.
type Config struct {
	Name     string `required:"" help:"Name of the target."`
	Service  string `required:"" help:"Name of its service."`
	Announce string `required:"" help:"Address at which the process beside the target takes announcements."`
	Listen   string `required:"" help:"Address to listen on."`
	Keys     bool   `help:"Run a request only while its key is held."`
	// Interval is the time between two announcements.
	Interval time.Duration `default:"300ms" help:"Time between two announcements."`
	Slots    int           `default:"8" help:"Requests that the target runs at once."`
	// ServiceTime is the time of one request.
	ServiceTime time.Duration `default:"5ms" help:"Time of one request."`
	RunLog      string        `help:"File to which each request that begins is appended."`
}

// Main runs the stand-in's command line and returns its exit code.
func Main(args []string, errs io.Writer) int {
	var cfg Config
	parser, err := kong.New(&cfg, kong.Name("rangetarget"),
		kong.Description("A stand-in target that holds ranges of keys by grants."))
	if err == nil {
		_, err = parser.Parse(args)
	}
	if err == nil {
		err = Serve(cfg)
	}
	if err != nil {
		_, _ = fmt.Fprintln(errs, "rangetarget:", err) // the exit code tells as well
		return 1
	}
	return 0
}
