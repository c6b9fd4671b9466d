// Command bench measures what the path through ingress and gate adds to a
// direct call of a stand-in target.
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

// limit bounds the whole run.
const limit = 10 * time.Minute

func main() {
	var o options
	kong.Parse(&o, kong.Name("bench"), kong.Description("Measures the cost of the request path."))
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if err := run(ctx, o); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "bench failed:", err) // the exit code tells as well
		os.Exit(1)
	}
}
