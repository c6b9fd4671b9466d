// Package scenario runs scripted failures against clusters of real processes.
package scenario

import (
	"context"
	"maps"
	"os"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"bramleyquay.example/router/bqctl"
	"bramleyquay.example/router/daemon"
	"bramleyquay.example/router/standin"
)

// TestMain makes the test binary run as one of the programs under test when it is
// started under that program's name.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"bramleyquay": func() { os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr)) },
		"bqctl": func() {
			os.Exit(bqctl.Run(context.Background(), os.Args[1:], bqctl.Env{Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr, Getenv: os.Getenv}))
		},
		"standin": func() { os.Exit(standin.Main(os.Args[1:], os.Stderr)) },
	})
}

// TestScripts runs testdata/*.txtar. Each script begins with a comment that says
// which failure it guards against. The control replicas sync their logs to the disk of
// the script's work folder, so the measured times include these syncs.
func TestScripts(t *testing.T) {
	examples, err := filepath.Abs("../../examples")
	if err != nil {
		t.Fatal(err)
	}
	cmds := commands()
	maps.Copy(cmds, operatorCommands())
	testscript.Run(t, testscript.Params{
		Dir:  "testdata",
		Cmds: cmds,
		Setup: func(env *testscript.Env) error {
			env.Setenv("EXAMPLES", examples)
			env.Values[stateKey{}] = &state{}
			env.Defer(env.Values[stateKey{}].(*state).stop)
			return nil
		},
		RequireExplicitExec: true,
	})
}
