// Command bench measures the latency that ingress and gate add to a direct call of a
// stand-in target.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"
)

type options struct {
	Daemon   string        `required:"" help:"The bramleyquay program."`
	Standin  string        `required:"" help:"The stand-in target program."`
	Examples string        `required:"" help:"Folder with process.hujson.tmpl."`
	Length   time.Duration `default:"5s" help:"Length of each measurement."`
	Callers  int           `default:"64" help:"Connections of the load."`
}

// runTimeout bounds the whole run.
const runTimeout = 10 * time.Minute

func main() {
	var o options
	kong.Parse(&o, kong.Name("bench"), kong.Description("Measures the cost of the request path."))
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	if err := run(ctx, o); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "bench failed:", err) // the exit code reports the failure too
		os.Exit(1)
	}
}
