// Command faults injects single faults and pairs of faults into a small cluster, one
// after the other, and prints for how long each service was not served.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"
)

type options struct {
	Daemon   string `required:"" help:"The bramleyquay program."`
	Standin  string `required:"" help:"The stand-in target program."`
	Examples string `required:"" help:"Folder with document.hujson and process.hujson.tmpl."`
	Only     string `help:"Run only rows whose name contains this text."`
	Folder   string `help:"Folder that is kept; a temporary one by default."`
	Reasons  bool   `help:"Print the refusals of each row."`
}

// runTimeout bounds the whole run.
const runTimeout = 9 * time.Minute

func main() {
	var o options
	kong.Parse(&o, kong.Name("faults"), kong.Description("Measures unavailable time for each fault."))
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	if err := run(ctx, o); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "faults failed:", err) // the exit code reports the failure too
		os.Exit(1)
	}
}
