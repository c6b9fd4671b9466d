package httpclient

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// quiet reports whether a connection is open and has no bytes to read.
func quiet(raw net.Conn) bool {
	sc, ok := raw.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = rc.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
	})
	return err == nil && quiet
}

func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
