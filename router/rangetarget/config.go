// Package rangetarget is a stand-in target of a cluster in fleet mode, for demos and
// tests. It runs requests for the key ranges that its sidecar process grants to it.
package rangetarget

import (
	"fmt"
	"io"
	"time"

	"github.com/alecthomas/kong"
)

// Config is the command line of a stand-in target.
type Config struct {
	Name     string `required:"" help:"Name of the target."`
	Service  string `required:"" help:"Name of its service."`
	Announce string `required:"" help:"Address at which the process beside the target takes announcements."`
	Listen   string `required:"" help:"Address to listen on."`
	Keys     bool   `help:"Run a request only while its key is held."`
	// GrantsByRequest must agree with lease.grants in the settings of the sidecar
	// process.
	GrantsByRequest bool    `help:"Take grants by calls instead of the answers to announcements."`
	LateGrants      float64 `help:"Share of the grants by calls that are applied late and get no answer."`
	LateCopies      float64 `help:"Share of the answers that are sent a second time, late."`
	// Interval is the time between two announcements.
	Interval time.Duration `default:"300ms" help:"Time between two announcements."`
	Slots    int           `default:"8" help:"Requests that the target runs at once."`
	// ServiceTime is the mean time of one request; it varies by half in both
	// directions.
	ServiceTime time.Duration `default:"5ms" help:"Time of one request."`
	RunLog      string        `help:"File to which each request that begins is appended."`
}

// Main runs the stand-in target with the given arguments until SIGTERM and returns its
// exit code.
func Main(args []string, stderr io.Writer) int {
	var cfg Config
	parser, err := kong.New(&cfg, kong.Name("rangetarget"),
		kong.Description("A stand-in target that is granted key ranges by its sidecar process."))
	if err == nil {
		_, err = parser.Parse(args)
	}
	if err == nil {
		err = Serve(cfg)
	}
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "rangetarget:", err) // the exit code reports the failure too
		return 1
	}
	return 0
}
