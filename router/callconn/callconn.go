// Package callconn tells a handler of net/http whether its caller still waits for the
// response.
package callconn

import (
	"context"
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

type key struct{}

// Context is for the field ConnContext of http.Server.
func Context(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, key{}, conn)
}

// IsWaiting reports whether the caller of a request has not closed its connection, as far
// as this machine has been told. The body of the request must have been read. ctx is the
// context of the request; it alone is not enough, because net/http cancels it some time
// after the close has arrived.
func IsWaiting(ctx context.Context) bool {
	if ctx.Err() != nil {
		return false
	}
	conn, ok := ctx.Value(key{}).(net.Conn)
	if wrapped, isWrapped := conn.(interface{ NetConn() net.Conn }); isWrapped {
		conn = wrapped.NetConn()
	}
	return !ok || !IsClosed(conn)
}

// IsClosed reports whether the other end has closed or reset a connection and all bytes
// that it sent before have been read. It peeks at the socket and does not block. It
// returns false for connections that are not sockets.
func IsClosed(conn net.Conn) bool {
	n, isSocket, err := Peek(conn)
	return isSocket && (err == nil && n == 0 || err != nil && !errors.Is(err, unix.EAGAIN))
}

// Peek looks for one byte that can be read without blocking. An error of unix.EAGAIN means
// that there is none yet; n is zero without an error if the other end has closed the
// connection, or if conn is not a socket.
func Peek(conn net.Conn) (n int, isSocket bool, err error) {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return 0, false, nil
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return 0, true, err
	}
	var peekErr error
	err = rc.Control(func(fd uintptr) {
		var b [1]byte
		n, _, peekErr = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	if err != nil {
		return 0, true, err
	}
	return n, true, peekErr
}
