// Package fleetcmd runs the commands of a process in fleet mode (with a routing
// document and key ranges).
package fleetcmd

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"bramleyquay.example/router/fleetdaemon"
	"bramleyquay.example/router/fleetsettings"
	"bramleyquay.example/router/logging"
	"bramleyquay.example/router/settings"
)

// Exit codes: exitOK if the process ended as planned or the check found
// nothing, exitFailed if the process failed, exitInvalid if the settings or the
// arguments are invalid.
const (
	exitOK      = 0
	exitFailed  = 1
	exitInvalid = 2
)

// flushTimeout bounds the time for writing the last log lines.
const flushTimeout = 200 * time.Millisecond

// load reads the settings and prints their findings. It returns nil if the
// process must not run with them.
func load(file string, stderr io.Writer) *fleetsettings.Settings {
	s, findings, err := fleetsettings.Load(file)
	if !settings.PrintFindings(stderr, findings, err) {
		return nil
	}
	return s
}

// Check prints the findings of a settings file and returns the exit code.
func Check(file string, out, stderr io.Writer) int {
	if load(file, stderr) == nil {
		return exitInvalid
	}
	_, _ = fmt.Fprintf(out, "%s: no findings\n", file) // the exit code also reports success
	return exitOK
}

// Run runs the process until SIGTERM or SIGINT and returns the exit code. It
// logs to out. With bootstrap, a control replica starts a new control group of
// all seeds. This is for the very first start only: a replica that lost its
// data folder must start without bootstrap, so that it joins under a new id. It
// may have voted under the old one.
func Run(file string, bootstrap bool, out, stderr io.Writer) int {
	s := load(file, stderr)
	if s == nil {
		return exitInvalid
	}
	cfg := s.Config()
	if bootstrap {
		if cfg.Control == nil || !slices.Contains(s.Seeds, s.Peer) {
			_, _ = fmt.Fprintln(stderr, "bramleyquay: only a control replica that is one of the seeds can bootstrap the group") // the exit code also reports the failure
			return exitInvalid
		}
		cfg.Control.InitialVoters = s.Seeds
	}
	logWriter := logging.NewNonBlockingWriter(out)
	defer logWriter.Flush(flushTimeout)
	logs := logging.New(logWriter, s.LogLevel, false)
	d, err := fleetdaemon.New(cfg, logs)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "bramleyquay:", err) // the exit code also reports the failure
		return exitFailed
	}
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	if err := d.Run(stop); err != nil {
		_, _ = fmt.Fprintln(stderr, "bramleyquay:", err) // the exit code also reports the failure
		return exitFailed
	}
	return exitOK
}
