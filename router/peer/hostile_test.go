package peer

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/jsonrpc2"
)

const testSecret = "correct horse battery"

// warnings records the listener's log messages.
type warnings struct {
	mu    sync.Mutex
	lines []string
}

// Warnf implements Logger.
func (w *warnings) Warnf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lines = append(w.lines, fmt.Sprintf(format, args...))
}

func (w *warnings) text() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return strings.Join(w.lines, "\n")
}

// listen starts a listener with one method, echo.
func listen(t *testing.T) (addr string, log *warnings) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	server := NewServer()
	server.Handle("echo", Bind(func(_ context.Context, p string) (string, error) { return p, nil }))
	log = &warnings{}
	l, err := Listen("127.0.0.1:0", []byte(testSecret), nil, log, func(c net.Conn) { server.ServeConn(ctx, c) })
	if err != nil {
		t.Fatal(err)
	}
	go l.Serve(ctx)
	return l.Addr().String(), log
}

// echo makes one call on a connection of its own.
func echo(t *testing.T, addr string) error {
	c := NewClient(&Dialer{Secret: []byte(testSecret)}, nil)
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var got string
	if err := c.Call(ctx, addr, "echo", "x", &got); err != nil {
		return err
	}
	if got != "x" {
		return fmt.Errorf("echo is %q", got)
	}
	return nil
}

func helloBytes(version byte, ch Channel, nonce []byte) []byte {
	return append(append(magic[:], version, byte(ch)), nonce...)
}

// TestHandshakeRejectsInvalidClients guards against a connection that is served
// without a valid proof of the secret, and against a secret or proof in the log.
func TestHandshakeRejectsInvalidClients(t *testing.T) {
	nonce := bytes.Repeat([]byte{7}, nonceBytes)
	// A proof that was valid for another connection.
	client, server := net.Pipe()
	var recorded []byte
	go func() { _, _ = serverHandshake(server, []byte(testSecret)) }()
	_, _ = client.Write(helloBytes(protocolVersion, ChannelRPC, nonce))
	answer := make([]byte, 2+nonceBytes+sha256.Size)
	if _, err := io.ReadFull(client, answer); err != nil {
		t.Fatal(err)
	}
	recorded = proof([]byte(testSecret), "client", ChannelRPC, nonce, answer[2:2+nonceBytes])
	_ = client.Close()

	validHello := helloBytes(protocolVersion, ChannelRPC, nonce)
	for name, sent := range map[string][]byte{
		"other protocol":    []byte("GET / HTTP/1.1\r\nHost: x\r\nAccept: everything there is\r\n\r\n"),
		"wrong version":     helloBytes(protocolVersion+1, ChannelRPC, nonce),
		"unknown channel":   helloBytes(protocolVersion, 'x', nonce),
		"wrong secret":      append(bytes.Clone(validHello), proof([]byte("another secret...."), "client", ChannelRPC, nonce, answer[2:2+nonceBytes])...),
		"replayed proof":    append(bytes.Clone(validHello), recorded...),
		"empty proof":       append(bytes.Clone(validHello), make([]byte, sha256.Size)...),
		"half a hello":      validHello[:20],
		"the secret itself": append(bytes.Clone(validHello), (testSecret + strings.Repeat("x", sha256.Size))[:sha256.Size]...),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			addr, log := listen(t)
			conn, err := net.Dial("tcp", addr)
			is.NoErr(err)
			defer conn.Close()
			_, err = conn.Write(sent)
			is.NoErr(err)
			_, _ = conn.Write(frame(`{"jsonrpc":"2.0","id":1,"method":"echo","params":"x"}`))
			_ = conn.(*net.TCPConn).CloseWrite() // the listener may have closed it already
			is.NoErr(conn.SetDeadline(time.Now().Add(5 * time.Second)))
			got, _ := io.ReadAll(conn) // a reset ends it as well
			is.True(!bytes.Contains(got, []byte("result")))
			if want, ok := map[string]status{"wrong version": statusVersion, "unknown channel": statusUnknownChannel}[name]; ok {
				is.Equal(got, []byte{byte(want), protocolVersion}) // refused before any proof is read
			}
			is.NoErr(echo(t, addr)) // the listener still serves other connections
			is.True(log.text() != "")
			for _, secret := range []string{testSecret, string(recorded), fmt.Sprintf("%x", recorded)} {
				is.True(!strings.Contains(log.text(), secret))
			}
		})
	}
}

// TestReflectedProof guards against a client that passes the handshake by sending
// back the server's proof instead of its own.
func TestReflectedProof(t *testing.T) {
	is := is.New(t)
	client, server := net.Pipe()
	defer client.Close()
	served := make(chan error, 1)
	go func() {
		_, err := serverHandshake(server, []byte(testSecret))
		served <- err
	}()
	_, err := client.Write(helloBytes(protocolVersion, ChannelRPC, make([]byte, nonceBytes)))
	is.NoErr(err)
	answer := make([]byte, 2+nonceBytes+sha256.Size)
	_, err = io.ReadFull(client, answer)
	is.NoErr(err)
	_, err = client.Write(answer[2+nonceBytes:])
	is.NoErr(err)
	var done [1]byte
	_, err = io.ReadFull(client, done[:])
	is.NoErr(err)
	is.Equal(status(done[0]), statusDenied)
	is.True(<-served != nil)
}

// TestSilentConnections guards against connections that send nothing and occupy
// handshake slots, so that the listener cannot serve others. It occupies half of the
// slots.
func TestSilentConnections(t *testing.T) {
	is := is.New(t)
	addr, _ := listen(t)
	conns := make([]net.Conn, 0, maxHandshakes/2)
	for range cap(conns) {
		conn, err := net.Dial("tcp", addr)
		is.NoErr(err)
		defer conn.Close()
		conns = append(conns, conn)
	}
	is.NoErr(echo(t, addr))
	for _, conn := range conns {
		is.NoErr(conn.SetReadDeadline(time.Now().Add(2 * handshakeTimeout)))
		_, err := conn.Read(make([]byte, 1))
		is.True(err == io.EOF) // closed by the listener after handshakeTimeout
	}
}

func frame(text string) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(text))), text...)
}

// TestMalformedFrames guards against messages that crash the process or exhaust its
// memory. The connection may be closed; the next one must work.
func TestMalformedFrames(t *testing.T) {
	addr, log := listen(t)
	for name, sent := range map[string][]byte{
		"oversized length":    {0xff, 0xff, 0xff, 0xff, '{'},
		"empty frame":         frame(""),
		"half a length":       {0, 0},
		"half a frame":        frame(`{"jsonrpc":"2.0"}`)[:9],
		"broken JSON":         frame(`{"jsonrpc":`),
		"array":               frame(`[]`),
		"null":                frame(`null`),
		"no method":           frame(`{"jsonrpc":"2.0","id":1}`),
		"deep nesting":        frame(strings.Repeat("[", 1<<20)),
		"response to no call": frame(`{"jsonrpc":"2.0","id":99,"result":1}`),
		"wrong parameters":    frame(`{"jsonrpc":"2.0","id":1,"method":"echo","params":{"a":1}}`),
		"no parameters":       frame(`{"jsonrpc":"2.0","id":1,"method":"echo"}`),
		"unknown method":      frame(`{"jsonrpc":"2.0","id":1,"method":"` + strings.Repeat("m", 1<<16) + `"}`),
		"object as id":        frame(`{"jsonrpc":"2.0","id":{},"method":"echo"}`),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			conn, err := (&Dialer{Secret: []byte(testSecret)}).Dial(context.Background(), addr, ChannelRPC)
			is.NoErr(err)
			defer conn.Close()
			_, err = conn.Write(sent)
			is.NoErr(err)
			_ = conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
			_, _ = io.ReadAll(conn) // closed or still open
			is.NoErr(echo(t, addr))
		})
	}
	is.New(t).True(!strings.Contains(log.text(), testSecret))
}

// TestOversizedFrame guards against reading a frame larger than maxMessageBytes.
func TestOversizedFrame(t *testing.T) {
	is := is.New(t)
	in := bytes.NewReader(append(binary.BigEndian.AppendUint32(nil, maxMessageBytes+1), '1'))
	var v any
	err := (frameCodec{}).ReadObject(bufio.NewReader(in), &v)
	is.True(Error.Has(err)) // refused for its length, not because the data ends early
}

// TestLengthAloneAllocatesNoMemory guards against peers that send the length of a
// large frame and nothing else: the buffer must not be allocated in advance.
func TestLengthAloneAllocatesNoMemory(t *testing.T) {
	is := is.New(t)
	addr, _ := listen(t)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for range 8 {
		conn, err := (&Dialer{Secret: []byte(testSecret)}).Dial(context.Background(), addr, ChannelRPC)
		is.NoErr(err)
		defer conn.Close()
		_, err = conn.Write(binary.BigEndian.AppendUint32(nil, maxMessageBytes))
		is.NoErr(err)
	}
	time.Sleep(100 * time.Millisecond)
	runtime.ReadMemStats(&after)
	is.True(after.TotalAlloc-before.TotalAlloc < maxMessageBytes) // less than one of the eight frames
}

// TestUnknownMethod guards against a call of an unknown method that never gets a
// response.
func TestUnknownMethod(t *testing.T) {
	is := is.New(t)
	addr, _ := listen(t)
	c := NewClient(&Dialer{Secret: []byte(testSecret)}, nil)
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	err := c.Call(ctx, addr, "nonsense", nil, nil)
	var rpcErr *jsonrpc2.Error
	is.True(errors.As(err, &rpcErr))
	is.Equal(rpcErr.Code, int64(jsonrpc2.CodeMethodNotFound))
	is.NoErr(echo(t, addr))
}
