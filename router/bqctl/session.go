package bqctl

import (
	"bufio"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"
	"unicode"

	"bramleyquay.example/router/bqctl/client"
	"bramleyquay.example/router/operator"
	"bramleyquay.example/router/settings"
)

// globals are the flags of every command.
type globals struct {
	Server     []string      `help:"Operator address host:port or URL; several are tried in order." env:"BQ_SERVERS" placeholder:"ADDRESS"`
	SecretFile string        `help:"File with the cluster's shared secret." env:"BQ_SECRET_FILE" placeholder:"FILE"`
	CAFile     string        `name:"ca-file" help:"Certificate authority of https addresses, as PEM." env:"BQ_CA_FILE" placeholder:"FILE"`
	Author     string        `help:"Name in the history; the login name if not given." env:"BQ_AUTHOR" placeholder:"NAME"`
	StateFile  string        `help:"File with the ids of changes whose answer was lost." env:"BQ_STATE_FILE" placeholder:"FILE"`
	Timeout    time.Duration `help:"Longest time of a command." default:"30s"`
	JSON       bool          `name:"json" help:"Print JSON."`
}

// session is one execution of bqctl.
type session struct {
	ctx     context.Context
	env     Env
	globals *globals
	// remote and pending are set by connect.
	remote  *client.Client
	pending *pendingFile
}

// connect prepares calls of the operator API; it opens no connection. The
// returned context has the command's timeout. Its errors are invalid input.
func (s *session) connect() (context.Context, context.CancelFunc, error) {
	if s.globals.SecretFile == "" {
		return nil, nil, invalid("the secret is missing: give --secret-file or set BQ_SECRET_FILE")
	}
	if len(s.globals.Server) == 0 {
		return nil, nil, invalid("no operator address: give --server or set BQ_SERVERS")
	}
	secret, err := settings.ReadSecretFile(s.globals.SecretFile)
	if err != nil {
		return nil, nil, invalid(err.Error())
	}
	httpClient, err := s.httpClient()
	if err != nil {
		return nil, nil, err
	}
	s.remote, err = client.New(client.Config{Servers: s.globals.Server, Secret: secret, HTTP: httpClient})
	if err != nil {
		return nil, nil, invalid(err.Error())
	}
	path, err := s.statePath()
	if err != nil {
		return nil, nil, err
	}
	s.pending = &pendingFile{path: path, scope: operator.Token(secret), now: time.Now}
	ctx, cancel := context.WithTimeout(s.ctx, s.globals.Timeout)
	return ctx, cancel, nil
}

func (s *session) httpClient() (*http.Client, error) {
	if s.globals.CAFile == "" {
		return client.HTTPClient(nil), nil
	}
	text, err := os.ReadFile(s.globals.CAFile)
	if err != nil {
		return nil, invalid("cannot read the certificate authority: " + err.Error())
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(text) {
		return nil, invalid(s.globals.CAFile + " contains no certificate")
	}
	return client.HTTPClient(&http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots}}), nil
}

// statePath returns the path of the state file. The default follows the XDG
// base directory specification.
func (s *session) statePath() (string, error) {
	if s.globals.StateFile != "" {
		return s.globals.StateFile, nil
	}
	folder, home := s.env.Getenv("XDG_STATE_HOME"), s.env.Getenv("HOME")
	switch {
	case folder != "":
	case home != "":
		folder = filepath.Join(home, ".local", "state")
	default:
		return "", invalid("no home directory for the state file: give --state-file or set BQ_STATE_FILE")
	}
	return filepath.Join(folder, "bqctl", "pending.json"), nil
}

// author returns the name that changes are recorded under.
func (s *session) author() string {
	for _, name := range []string{s.globals.Author, s.env.Getenv("USER"), s.env.Getenv("LOGNAME")} {
		if name != "" {
			return name
		}
	}
	return "unknown"
}

// print writes text and a line break to the standard output, with control
// characters replaced; with --json it writes nothing.
func (s *session) print(format string, args ...any) {
	if !s.globals.JSON {
		_, _ = fmt.Fprintln(s.env.Stdout, sanitize(fmt.Sprintf(format, args...)))
	}
}

// printJSON writes a value as JSON to the standard output; without --json it
// writes nothing.
func (s *session) printJSON(value any) error {
	if !s.globals.JSON {
		return nil
	}
	text, err := json.Marshal(value)
	if err != nil {
		return Error.New("cannot encode the output: %w", err)
	}
	_, err = fmt.Fprintf(s.env.Stdout, "%s\n", text)
	return err
}

// confirm asks for a confirmation on the error stream, so that the standard
// output is only JSON with --json. It returns an error unless the answer is yes.
// It blocks until there is an answer or s.ctx ends.
func (s *session) confirm(question string) error {
	_, _ = fmt.Fprintf(s.env.Stderr, "%s [y/N] ", question)
	answers := make(chan string, 1)
	go func() {
		answer, _ := bufio.NewReader(s.env.Stdin).ReadString('\n') // "" at the end of the input
		answers <- answer
	}()
	var answer string
	select {
	case <-s.ctx.Done():
		return &exitError{code: ExitFailed, text: "interrupted; nothing was changed"}
	case answer = <-answers:
	}
	if answer == "" {
		return invalid("no answer to the question; give --yes to apply without confirmation. Nothing was changed")
	}
	switch strings.ToLower(strings.TrimSpace(answer)) {
	case "y", "yes":
		return nil
	default:
		return &exitError{code: ExitFailed, text: "not confirmed; nothing was changed"}
	}
}

// sanitize replaces control characters, so that texts from the cluster cannot
// send escape sequences to the terminal.
func sanitize(text string) string {
	return strings.Map(func(r rune) rune {
		if r == '\n' || r == '\t' || unicode.IsPrint(r) {
			return r
		}
		return unicode.ReplacementChar
	}, text)
}
