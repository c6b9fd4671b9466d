package httpclient

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"bramleyquay.example/router/callconn"
)

// isOpenIdle reports whether a connection is open and has no unread bytes. It does not
// block. It returns true for connections that are not sockets.
func isOpenIdle(raw net.Conn) bool {
	_, isSocket, err := callconn.Peek(raw)
	return !isSocket || errors.Is(err, unix.EAGAIN)
}

func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
