package standin

import (
	"fmt"
	"io"

	"github.com/alecthomas/kong"
)

// Main runs the stand-in target with the given arguments until SIGTERM or SIGINT and
// returns its exit code.
func Main(args []string, stderr io.Writer) int {
	var cfg Config
	parser, err := kong.New(&cfg, kong.Name("standin"),
		kong.Description("A stand-in target that announces itself to its sidecar process."))
	if err == nil {
		_, err = parser.Parse(args)
	}
	if err == nil {
		err = Run(cfg)
	}
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "standin:", err) // the exit code reports the failure too
		return 1
	}
	return 0
}
