// Package netopt has the TCP socket options by which connections to unreachable
// machines fail within a bounded time.
package netopt

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeout is the time for which sent bytes may stay unacknowledged before the
// connection is closed (TCP_USER_TIMEOUT). It is a few round trips, so that lost
// segments can be retransmitted, and well below the callers' shortest deadline of
// 2 s.
const UserTimeout = 1500 * time.Millisecond

// KeepAlive closes idle connections within 2 s after the other end has become
// unreachable.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 2}

// Control sets UserTimeout on a socket. It is for the field Control of net.Dialer
// and net.ListenConfig.
func Control(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
