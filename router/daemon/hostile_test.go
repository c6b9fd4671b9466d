package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/router/controlnode"
	"bramleyquay.example/router/gate"
	"bramleyquay.example/router/logging"
	"bramleyquay.example/router/member"
	"bramleyquay.example/router/peer"
	"bramleyquay.example/router/raftdriver"
	"bramleyquay.example/router/settings"
)

// logBuffer collects the log of a process.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *logBuffer) text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// TestProcessSurvivesHostileInput guards against malformed input that crashes the
// process through any of its listeners, and against the shared secret in its log,
// dump or metrics.
func TestProcessSurvivesHostileInput(t *testing.T) {
	is := is.New(t)
	const secret = "sesame-open-0123456789"
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	peerAddr := l.Addr().String()
	is.NoErr(l.Close())
	logs := &logBuffer{}
	anyPort := "127.0.0.1:0"
	d, err := New(&settings.Settings{
		ID: "one", DataCentre: "a", Cluster: "c", Secret: settings.NewSecret(secret), ShutdownTimeoutMs: 1_000,
		Listen: settings.Listen{Caller: anyPort, Peer: peerAddr, Platform: anyPort, Operator: anyPort, Admin: anyPort},
		Control: settings.Control{Replica: true, Bootstrap: true, DataFolder: t.TempDir(),
			Peers: []settings.ControlPeer{{ID: "one", Address: peerAddr}}},
	}, logging.New(logs, "debug", false), "test")
	is.NoErr(err)
	kill, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- d.Run(context.Background(), kill) }()
	defer func() { cancel(); <-ended }()
	for end := time.Now().Add(10 * time.Second); !d.agent.InContact(); time.Sleep(10 * time.Millisecond) {
		is.True(time.Now().Before(end)) // the control group of one replica elects itself
	}

	client := peer.NewClient(&peer.Dialer{Secret: []byte(secret)}, nil)
	defer client.Close()
	call := func(method, params string) {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		_ = client.Call(ctx, peerAddr, method, json.RawMessage(params), nil) // errors are allowed; only a crash is not
	}
	for _, method := range []string{controlnode.MethodBootstrapProbe, raftdriver.MethodStep, member.MethodRenew, gate.MethodWriteRecords, gate.MethodFetchRecords,
		MethodDump, "operator.apply", "operator.preview", "operator.history", "operator.document", "operator.drain", "operator.move", "operator.split",
		"operator.merge", "operator.automation", "operator.control", "operator.status", "operator.dump", "nonsense"} {
		for _, params := range []string{`null`, `{}`, `[]`, `"x"`, `-1`, `{"k":9,"f":"x","t":1,"s":{"Index":1}}`, `{"id":"","seq":18446744073709551615,"target":{},"hotKeys":[{}],"released":[{}],"synced":[{}]}`,
			`{"document":"bnVsbA==","text":"{","base":-1,"kind":"x","key":"\u0000"}`,
			`{"unit":{"service":"x","shard":9},"epoch":9,"step":3,"records":[{"state":2}]}`} {
			call(method, params)
		}
	}
	wrong := &peer.Dialer{Secret: []byte(secret + "x")}
	_, err = wrong.Dial(context.Background(), peerAddr, peer.ChannelRPC)
	is.True(err != nil)
	for _, name := range []string{"caller", "platform", "operator", "admin"} {
		for _, raw := range []string{"\x00\xff\r\n\r\n", "GET / HTTP/1.1\r\n\r\n", "GET /x HTTP/1.1\r\nHost: x\r\nA: " + strings.Repeat("x", 64<<10) + "\r\n\r\n",
			"POST /announce HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n", "GET /x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer wrong\r\nCookie: a=b\r\nConnection: close\r\n\r\n"} {
			conn, err := net.Dial("tcp", d.listeners[name].Addr().String())
			is.NoErr(err)
			is.NoErr(conn.SetDeadline(time.Now().Add(500 * time.Millisecond)))
			_, _ = io.WriteString(conn, raw)
			_, _ = io.CopyN(io.Discard, conn, 16) // an answer or a closed connection
			is.NoErr(conn.Close())
		}
	}
	var dump json.RawMessage
	ctx, stop := context.WithTimeout(context.Background(), 3*time.Second)
	defer stop()
	is.NoErr(client.Call(ctx, peerAddr, MethodDump, struct{}{}, &dump))
	resp, err := http.Get(fmt.Sprintf("http://%s/metrics", d.listeners["admin"].Addr()))
	is.NoErr(err)
	metrics, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.True(len(metrics) > 0)
	is.True(strings.Contains(logs.text(), "connection refused")) // logs is the log of this process
	for _, text := range []string{logs.text(), string(dump), string(metrics), fmt.Sprintf("%+v", d.cfg)} {
		is.True(!strings.Contains(text, secret))
	}
	select {
	case err := <-ended:
		t.Fatalf("the process ended: %v", err)
	default:
	}
}
