package standin

import (
	"fmt"
	"io"

	"github.com/alecthomas/kong"
)

// Main runs the stand-in's command line and returns its exit code.
func Main(args []string, errs io.Writer) int {
	var cfg Config
	parser, err := kong.New(&cfg, kong.Name("standin"),
		kong.Description("A stand-in target that announces itself to the process beside it."))
	if err == nil {
		_, err = parser.Parse(args)
	}
	if err == nil {
		err = Run(cfg)
	}
	if err != nil {
		_, _ = fmt.Fprintln(errs, "standin:", err) // the exit code tells as well
		return 1
	}
	return 0
}
