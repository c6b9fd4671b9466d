package daemon

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"

	"bramleyquay.example/router/fleetcmd"
	"bramleyquay.example/router/logging"
	"bramleyquay.example/router/settings"
)

// Exit codes of the daemon.
const (
	exitOK      = 0
	exitFailed  = 1 // the process could not start or was not stopped gracefully
	exitInvalid = 2 // invalid command line or settings
)

// commands are the commands and flags of the daemon, parsed by kong.
type commands struct {
	Run     runCommand       `cmd:"" default:"withargs" help:"Run the process until SIGTERM; a second SIGTERM ends it at once."`
	Check   checkCommand     `cmd:"" help:"Check a settings file and report every finding."`
	Fleet   fleetCommand     `cmd:"" help:"The same for processes that route by document and grant ranges of keys."`
	Version kong.VersionFlag `help:"Print the version."`
}

type runCommand struct {
	File string `arg:"" help:"Settings file, JSON with comments."`
}

type checkCommand struct {
	File string `arg:"" help:"Settings file, JSON with comments."`
}

type fleetCommand struct {
	Run   fleetRunCommand `cmd:"" default:"withargs" help:"Run the process until SIGTERM. It logs to the standard output."`
	Check checkCommand    `cmd:"" help:"Check a settings file and report every finding."`
}

type fleetRunCommand struct {
	File  string `arg:"" help:"Settings file, JSON with comments."`
	Found bool   `help:"Found the control group with the other seeds; for the very first start of the cluster."`
}

// Main runs the daemon's command line and returns its exit code.
func Main(args []string, out, errs io.Writer) int {
	var cmds commands
	code := -1
	parser, err := kong.New(&cmds,
		kong.Name("bramleyquay"), kong.Vars{"version": Version()}, kong.Writers(out, errs),
		kong.Description("Routes requests to targets that each own their keys exclusively."),
		kong.Exit(func(c int) { code = c }))
	if err != nil {
		_, _ = fmt.Fprintln(errs, "bramleyquay:", err) // the exit code reports the result as well
		return exitFailed
	}
	ctx, err := parser.Parse(args)
	if code >= 0 {
		return code
	}
	if err != nil {
		_, _ = fmt.Fprintln(errs, "bramleyquay:", err) // the exit code reports the result as well
		return exitInvalid
	}
	switch ctx.Command() {
	case "check <file>":
		return check(cmds.Check.File, out, errs)
	case "fleet run <file>":
		return fleetcmd.Run(cmds.Fleet.Run.File, cmds.Fleet.Run.Found, out, errs)
	case "fleet check <file>":
		return fleetcmd.Check(cmds.Fleet.Check.File, out, errs)
	}
	return run(cmds.Run.File, errs)
}

// Version returns the module version that the Go toolchain recorded in the binary,
// or "unknown".
func Version() string {
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		return info.Main.Version
	}
	return "unknown"
}

// load reads the settings file and prints the findings to errs. It returns nil
// settings and an exit code if the process must not run with them.
func load(file string, errs io.Writer) (*settings.Settings, int) {
	cfg, findings, err := settings.Load(file)
	if !settings.PrintFindings(errs, findings, err) {
		return nil, exitInvalid
	}
	return cfg, exitOK
}

func check(file string, out, errs io.Writer) int {
	cfg, code := load(file, errs)
	if cfg != nil {
		_, _ = fmt.Fprintf(out, "%s: no findings\n", file) // the exit code reports the result as well
	}
	return code
}

func run(file string, errs io.Writer) int {
	cfg, code := load(file, errs)
	if cfg == nil {
		return code
	}
	logs := logging.New(errs, cfg.Log.Level, cfg.Log.Format == "console")
	d, err := New(cfg, logs, Version())
	if err != nil {
		logging.ForComponent(logs, "daemon").Errorf("%v", err)
		return exitFailed
	}
	stop, kill := signals()
	if err := d.Run(stop, kill); err != nil {
		d.log.Errorf("%v", err)
		return exitFailed
	}
	return exitOK
}

// signals returns two contexts: the first SIGTERM or SIGINT cancels stop, the
// second one cancels kill.
func signals() (stop, kill context.Context) {
	received := make(chan os.Signal, 2)
	signal.Notify(received, syscall.SIGTERM, syscall.SIGINT)
	stop, first := context.WithCancel(context.Background())
	kill, second := context.WithCancel(context.Background())
	go func() {
		<-received
		first()
		<-received
		second()
	}()
	return stop, kill
}
