package responseforms

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"
)

// Serve starts a server for the time of a test. It passes each connection to handle, and
// closes the connection when handle returns. It returns the server's address.
func Serve(t testing.TB, handle func(conn net.Conn, in *bufio.Reader)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				handle(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return l.Addr().String()
}

// SendAndReset sends text, gives the client time to read it, and resets the connection: the
// one of Serve, or one that a test has hijacked.
func SendAndReset(conn net.Conn, text string) {
	_, _ = io.WriteString(conn, text)
	time.Sleep(5 * time.Millisecond)
	_ = conn.(*net.TCPConn).SetLinger(0) // the close is a reset
	_ = conn.Close()
}
