// Package netopt has the TCP socket options by which connections to unreachable
// machines fail within a bounded time.
package netopt

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeout is the time for which bytes that were sent to another process of the system
// may stay unacknowledged before the connection is closed (TCP_USER_TIMEOUT). It is a few
// round trips, so that lost segments can be retransmitted, and well below the callers'
// shortest deadline of 2 s. It also bounds how long the process may not read; callers and
// targets may pause longer.
const UserTimeout = 1500 * time.Millisecond

// KeepAlive closes idle connections within 2 s after the other end has become
// unreachable.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 2}

// Control sets UserTimeout on a socket. It is for the field Control of net.Dialer
// and net.ListenConfig.
func Control(network, address string, c syscall.RawConn) error {
	return ControlWith(UserTimeout)(network, address, c)
}

// ControlWith is Control with another time-out.
func ControlWith(timeout time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c, timeout) }
}

// SetUserTimeout changes the time-out of a connection. It does nothing if conn is not a
// socket.
func SetUserTimeout(conn net.Conn, timeout time.Duration) error {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	return setUserTimeout(rc, timeout)
}

func setUserTimeout(c syscall.RawConn, timeout time.Duration) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
