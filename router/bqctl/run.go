// Package bqctl is the operator's command-line tool.
package bqctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"runtime/debug"

	"github.com/alecthomas/kong"

	"bramleyquay.example/router/operator"
)

// Env is what a command uses of the process around it.
type Env struct {
	Stdin          io.Reader
	Stdout, Stderr io.Writer
	// Getenv reads environment variables.
	Getenv func(string) string
}

const description = `Operates a bramleyquay cluster.

Every command says what happened and can be given again: a change whose answer was lost is sent as the same change.

Exit codes: 0 done, 1 failed, 2 invalid input or findings, 3 conflict with another change, 4 refused as unsafe.`

// stop carries the exit code out of the argument parser, which prints help
// and version by itself.
type stop struct{ code int }

// Run runs one command and returns its exit code.
func Run(ctx context.Context, args []string, env Env) (code int) {
	defer func() {
		if fault := recover(); fault != nil {
			ended, ok := fault.(stop)
			if !ok {
				panic(fault)
			}
			code = ended.code
		}
	}()
	cmd := &command{}
	parser, err := kong.New(cmd,
		kong.Name("bqctl"), kong.Description(description),
		kong.Vars{"version": version()},
		kong.Writers(env.Stdout, env.Stderr),
		kong.Exit(func(code int) { panic(stop{code}) }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true, Tree: true}),
		kong.UsageOnError(),
	)
	if err != nil {
		panic("bqctl: wrong command definition: " + err.Error())
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		_, _ = fmt.Fprintf(env.Stderr, "bqctl: %v\nTry bqctl --help.\n", err)
		return ExitInvalid
	}
	s := &session{ctx: ctx, env: env, globals: &cmd.globals}
	err = parsed.Run(s)
	s.report(err)
	return exitCode(err)
}

func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "bqctl (unknown version)"
	}
	return "bqctl " + info.Main.Version
}

// report prints an error that the command has not printed yet.
func (s *session) report(err error) {
	var exit *exitError
	if err == nil || errors.As(err, &exit) && exit.shown {
		return
	}
	if s.globals.JSON {
		var refused *operator.Error
		if !errors.As(err, &refused) {
			refused = &operator.Error{Text: err.Error()}
		}
		text, _ := json.Marshal(map[string]any{"error": refused, "exitCode": exitCode(err)})
		_, _ = fmt.Fprintf(s.env.Stdout, "%s\n", text)
		return
	}
	_, _ = fmt.Fprintf(s.env.Stderr, "bqctl: %s\n", clean(err.Error()))
	if a := advice(err); a != "" {
		_, _ = fmt.Fprintf(s.env.Stderr, "bqctl: %s\n", a)
	}
}
