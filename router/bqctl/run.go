// Package bqctl is the operator's command-line tool. Its commands use the
// operator API of a cluster with hashed shards; the commands under fleet call
// the control replicas of a cluster in fleet mode.
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

// Env holds the standard streams and the environment of a command.
type Env struct {
	Stdin          io.Reader
	Stdout, Stderr io.Writer
	// Getenv reads environment variables.
	Getenv func(string) string
}

const description = `Operates a bramleyquay cluster.

Every command can be given again: a change whose answer was lost is resent with the same id and is made only once.

Exit codes: 0 done, 1 failed, 2 invalid input or findings, 3 conflict with another change, 4 refused as unsafe.`

// parserExit is the value of the panic that ends the argument parser after it
// has printed the help or the version.
type parserExit struct{ code int }

// Run runs the command in args, without the program's name, and returns its
// exit code. It blocks until the command ends. The end of ctx interrupts calls,
// confirmations and watch, but neither the reading of a document from the
// standard input nor the wait for the lock of the state file.
func Run(ctx context.Context, args []string, env Env) (code int) {
	defer func() {
		if recovered := recover(); recovered != nil {
			exit, ok := recovered.(parserExit)
			if !ok {
				panic(recovered)
			}
			code = exit.code
		}
	}()
	cmd := &command{}
	parser, err := kong.New(cmd,
		kong.Name("bqctl"), kong.Description(description),
		kong.Vars{"version": version()},
		kong.Writers(env.Stdout, env.Stderr),
		kong.Exit(func(code int) { panic(parserExit{code}) }),
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

// report prints an error that the command has not printed yet: as JSON to the
// standard output with --json, otherwise as text to the error stream.
func (s *session) report(err error) {
	var exit *exitError
	if err == nil || errors.As(err, &exit) && exit.shown {
		return
	}
	if s.globals.JSON {
		var apiErr *operator.Error
		if !errors.As(err, &apiErr) {
			apiErr = &operator.Error{Text: err.Error()}
		}
		text, _ := json.Marshal(map[string]any{"error": apiErr, "exitCode": exitCode(err)})
		_, _ = fmt.Fprintf(s.env.Stdout, "%s\n", text)
		return
	}
	_, _ = fmt.Fprintf(s.env.Stderr, "bqctl: %s\n", sanitize(err.Error()))
	if a := advice(err); a != "" {
		_, _ = fmt.Fprintf(s.env.Stderr, "bqctl: %s\n", a)
	}
}
