// Package netopt sets socket options that bound the time for which a
// connection that went silent is taken for a working one.
package netopt

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeout is the time after which sent bytes that nobody acknowledged end
// a connection. It is a few round trips and well below the caller's shortest
// deadline of 2 s.
const UserTimeout = 1500 * time.Millisecond

// KeepAlive finds idle connections whose other end is gone within 2 s.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 2}

// Control is a net.Dialer.Control and net.ListenConfig.Control that sets
// UserTimeout.
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
