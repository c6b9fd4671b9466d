package bqctl

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/quarantine"
	"bramleyquay.example/coord/quota"
	"bramleyquay.example/router/fleetdaemon"
	"bramleyquay.example/router/fleetnode"
	"bramleyquay.example/router/logging"
)

// startFleetReplica starts a control group of one replica and returns the
// replica's peer address.
func startFleetReplica(t *testing.T, secret string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close() // the replica listens on this port
	d, err := fleetdaemon.New(fleetdaemon.Config{
		Cluster: "test", Peer: address, Secret: []byte(secret), Seeds: []string{address}, StopTimeout: time.Second,
		Lease:   fleetdaemon.LeaseConfig{AnnounceInterval: time.Second, MaxHold: 10 * time.Second},
		Control: &fleetdaemon.ControlConfig{DataDir: t.TempDir(), InitialVoters: []string{address}},
	}, logging.New(io.Discard, "error", false))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go func() { _ = d.Run(ctx) }() // ends with the test
	return address
}

// Guards against commands that do not reach the control group, against sending
// documents with findings, and against changes on an old version.
func TestFleetCommands(t *testing.T) {
	is := is.New(t)
	const secret = "0123456789abcdef"
	folder := t.TempDir()
	secretFile := filepath.Join(folder, "secret")
	is.NoErr(os.WriteFile(secretFile, []byte(secret), 0o600))
	replica := startFleetReplica(t, secret)
	run := func(args ...string) (int, string) {
		var out bytes.Buffer
		args = append([]string{"--secret-file", secretFile, "fleet", "--replica", replica}, args...)
		code := Run(context.Background(), args, Env{Stdin: strings.NewReader(""), Stdout: &out, Stderr: &out, Getenv: func(string) string { return "" }})
		return code, out.String()
	}
	code, out := run("apply", "../../examples/ranges/routes.hujson")
	is.Equal(code, ExitDone)
	is.True(strings.Contains(out, "version 1 is in force"))
	code, out = run("document")
	is.Equal(code, ExitDone)
	is.True(strings.Contains(out, "seats.example"))
	code, out = run("status")
	is.Equal(code, ExitDone)
	is.True(strings.Contains(out, "document version 1"))
	is.True(strings.Contains(out, "voter"))

	code, _ = run("apply", "--base=7", "../../examples/ranges/routes.hujson")
	is.Equal(code, ExitConflict)
	code, out = run("apply", "../../examples/ranges/routes.hujson")
	is.Equal(code, ExitInvalid) // the version must rise
	is.True(strings.Contains(out, "above 1"))
	code, out = run("apply", "../../examples/ranges/accounts.hujson")
	is.Equal(code, ExitDone)
	is.True(!strings.Contains(out, "example-key"))
	code, out = run("document")
	is.Equal(code, ExitDone)
	is.True(strings.Contains(out, "example-key-3")) // operators read what they wrote
	code, out = run("status", "--json")
	is.Equal(code, ExitDone)
	is.True(!strings.Contains(out, "example-key"))
	wrong := filepath.Join(folder, "wrong")
	is.NoErr(os.WriteFile(wrong, []byte(`{"version": 3, "rules": []}`), 0o600))
	code, out = run("apply", wrong)
	is.Equal(code, ExitInvalid)
	is.True(strings.Contains(out, "rules"))
	code, _ = run("drain", "nowhere")
	is.Equal(code, ExitInvalid)
	code, _ = run("return", "nowhere")
	is.Equal(code, ExitDone)
}

// Guards against an operator who cannot see or end the refusal of a request.
func TestFleetAllow(t *testing.T) {
	is := is.New(t)
	text := fleetStatusText(fleetnode.Status{Quarantine: []quarantine.Entry{{Fingerprint: 0xabc, Crashes: 3, Refused: 90 * time.Second}, {Fingerprint: 0xdef, Crashes: 2}}})
	is.True(strings.Contains(text, "abc"))
	is.True(strings.Contains(text, "1m30s"))
	is.True(strings.Contains(text, "def"))

	const secret = "0123456789abcdef"
	secretFile := filepath.Join(t.TempDir(), "secret")
	is.NoErr(os.WriteFile(secretFile, []byte(secret), 0o600))
	replica := startFleetReplica(t, secret)
	for argument, want := range map[string]string{"nothex": "not a fingerprint", "abc": "is not refused"} {
		var out bytes.Buffer
		code := Run(context.Background(), []string{"--secret-file", secretFile, "fleet", "--replica", replica, "allow", argument},
			Env{Stdin: strings.NewReader(""), Stdout: &out, Stderr: &out, Getenv: func(string) string { return "" }})
		is.Equal(code, ExitInvalid)
		is.True(strings.Contains(out.String(), want))
	}
}

// Guards against a division of limits that operators cannot see, or that shows figures in
// the wrong column.
func TestFleetAccounts(t *testing.T) {
	is := is.New(t)
	const secret = "0123456789abcdef"
	secretFile := filepath.Join(t.TempDir(), "secret")
	is.NoErr(os.WriteFile(secretFile, []byte(secret), 0o600))
	replica := startFleetReplica(t, secret)
	var out bytes.Buffer
	args := []string{"--secret-file", secretFile, "fleet", "--replica", replica, "accounts"}
	var code int
	for range 100 {
		out.Reset()
		code = Run(context.Background(), args, Env{Stdin: strings.NewReader(""), Stdout: &out, Stderr: &out, Getenv: func(string) string { return "" }})
		if code == ExitDone {
			break
		}
		time.Sleep(50 * time.Millisecond) // no leader yet
	}
	is.Equal(code, ExitDone)
	is.True(strings.Contains(out.String(), "no account has a limit"))
	text := fleetAccountsText(fleetnode.Status{Leader: "a/1", Term: 3, Accounts: []quota.LimitStatus{{
		Name: "acme", Rate: 50, Burst: 40, Demand: 30, Allotted: 20, ReserveRate: 12, ReserveTokens: 8, Processes: 6, Refused: 7, Restricted: true,
	}}})
	is.True(strings.Contains(text, "a/1 divides the limits, term 3"))
	row := strings.Fields(text[strings.LastIndex(text, "acme"):])
	is.Equal(row[:9], []string{"acme", "50.0", "40.0", "30.0", "20.0", "12.0", "8.0", "7", "6"})
}
