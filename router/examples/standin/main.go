// Command standin is a stand-in target for the demo and the scenario tests. It
// can start cold, slow down and freeze, and it logs every payment that it runs.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"bramleyquay.example/router/standin"
)

func main() {
	var cfg standin.Config
	kong.Parse(&cfg, kong.Name("standin"), kong.Description("A stand-in target that announces itself to the process beside it."))
	if err := standin.Run(cfg); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "standin:", err) // the exit code tells as well
		os.Exit(1)
	}
}
