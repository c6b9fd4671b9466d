// Command demo runs two small clusters on this machine, one with hashed shards and one
// in fleet mode, injects faults under load, prints which answers callers got and checks
// them.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
)

// runTimeout bounds the whole demo.
const runTimeout = 100 * time.Second

type options struct {
	Daemon  string `required:"" help:"The bramleyquay program."`
	Standin string `required:"" help:"The stand-in target program."`
	// RangeTarget is the stand-in target of the cluster in fleet mode.
	RangeTarget string `required:"" help:"The stand-in target program that holds ranges of keys."`
	Examples    string `required:"" help:"Folder with document.hujson and process.hujson.tmpl; ranges lies beside it."`
	Folder      string `help:"Folder for settings, logs and data; a new temporary one by default."`
	Keep        bool   `help:"Keep the folder."`
}

func main() {
	var o options
	kong.Parse(&o, kong.Name("demo"), kong.Description("Runs small clusters and injects faults under load."))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	if err := run(ctx, o); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "demo failed:", err) // the exit code reports the failure too
		os.Exit(1)
	}
}
