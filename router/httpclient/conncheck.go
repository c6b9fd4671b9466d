package httpclient

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// isOpenIdle reports whether a connection is open and has no unread bytes. It
// peeks at the socket and does not block. It returns true for connections that
// are not sockets.
func isOpenIdle(raw net.Conn) bool {
	sc, ok := raw.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	openIdle := false
	err = rc.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		openIdle = errors.Is(err, unix.EAGAIN)
	})
	return err == nil && openIdle
}

func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
