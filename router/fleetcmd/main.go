// Package fleetcmd is the command line of a process that routes by document
// and grants ranges of keys.
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

// Exit codes.
const (
	exitOK      = 0
	exitFailed  = 1
	exitInvalid = 2
)

// flushTimeout bounds the wait for the last lines of the log.
const flushTimeout = 200 * time.Millisecond

// load reads the settings and reports findings. It returns nil if the process
// must not run with them.
func load(file string, errs io.Writer) *fleetsettings.Settings {
	s, findings, err := fleetsettings.Load(file)
	if !settings.PrintFindings(errs, findings, err) {
		return nil
	}
	return s
}

// Check reports the findings of a settings file.
func Check(file string, out, errs io.Writer) int {
	if load(file, errs) == nil {
		return exitInvalid
	}
	_, _ = fmt.Fprintf(out, "%s: no findings\n", file) // the exit code tells as well
	return exitOK
}

// Run runs the process until SIGTERM. It logs to out. With found, a control
// replica founds the group together with the other seeds: this is for the very
// first start, since a replica that lost its folder must join under a new id.
func Run(file string, found bool, out, errs io.Writer) int {
	s := load(file, errs)
	if s == nil {
		return exitInvalid
	}
	cfg := s.Config()
	if found {
		if cfg.Control == nil || !slices.Contains(s.Seeds, s.Peer) {
			_, _ = fmt.Fprintln(errs, "bramleyquay: only a control replica that is one of the seeds can found the group") // the exit code tells as well
			return exitInvalid
		}
		cfg.Control.InitialVoters = s.Seeds
	}
	lines := logging.NewNonBlockingWriter(out)
	defer lines.Flush(flushTimeout)
	logs := logging.New(lines, s.LogLevel, false)
	d, err := fleetdaemon.New(cfg, logs)
	if err != nil {
		_, _ = fmt.Fprintln(errs, "bramleyquay:", err) // the exit code tells as well
		return exitFailed
	}
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	if err := d.Run(stop); err != nil {
		_, _ = fmt.Fprintln(errs, "bramleyquay:", err) // the exit code tells as well
		return exitFailed
	}
	return exitOK
}
