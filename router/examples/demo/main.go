// Command demo runs a small Muscat cluster on this machine, breaks it in
// several ways under load and prints what callers saw.
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

// limit bounds the whole demo.
const limit = 100 * time.Second

type options struct {
	Daemon  string `required:"" help:"The bramleyquay program."`
	Standin string `required:"" help:"The stand-in target program."`
	// RangeTarget is the stand-in for targets that hold ranges of keys.
	RangeTarget string `required:"" help:"The stand-in target program that holds ranges of keys."`
	Examples    string `required:"" help:"Folder with document.hujson and process.hujson.tmpl; ranges lies beside it."`
	Folder      string `help:"Folder for settings, logs and data; a new temporary one by default."`
	Keep        bool   `help:"Keep the folder."`
}

func main() {
	var o options
	kong.Parse(&o, kong.Name("demo"), kong.Description("Runs a small cluster and breaks it under load."))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if err := run(ctx, o); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "demo failed:", err) // the exit code tells as well
		os.Exit(1)
	}
}
