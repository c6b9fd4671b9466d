package httpserver

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// lingerTimeout bounds the wait for the caller to close its side after the
	// last response. Closing while received bytes are unread makes the kernel
	// send a reset, and the caller could lose the response.
	lingerTimeout = 500 * time.Millisecond
	// uploadLingerTimeout bounds the pauses of a caller that may still be sending a body
	// which was refused, uploadLingerTotal the whole wait: many callers read the response
	// only once they have sent everything.
	uploadLingerTimeout = 3 * time.Second
	uploadLingerTotal   = bodyTimeout
	// lingerBytes bounds the bytes that are read from a caller after the last
	// response.
	lingerBytes = 256 << 10
	// discardBytes is the size of the buffer for bytes that are not used.
	discardBytes = 4 << 10
)

// lingeringClose closes the sending side, discards what the caller still sends
// and then closes the connection, so that the last response is not lost.
// lingerTimeout and lingerBytes bound the wait, or uploadLingerTotal and the limit of
// a body if a caller may still be sending one. It waits up to writeTimeout for a caller
// that has not read the whole response.
func (c *conn) lingeringClose() {
	if tcp, ok := c.raw.(*net.TCPConn); ok && !c.isBroken() {
		_ = tcp.CloseWrite() // the connection is closed below in any case
		c.discard(tcp)
	}
	_ = c.raw.Close() // all responses have been written or cannot be
}

// discard reads until the caller closes its side or a bound is reached.
func (c *conn) discard(tcp *net.TCPConn) {
	pause, total := lingerTimeout, lingerTimeout
	c.limited.remaining = lingerBytes
	if c.bodyUnread {
		pause, total = uploadLingerTimeout, uploadLingerTotal
		c.limited.remaining = max(lingerBytes, 2*c.server.limits().BodyBytes)
	}
	c.beginLinger(pause)
	begin := time.Now()
	buf := make([]byte, discardBytes)
	for {
		left := total - time.Since(begin)
		if left <= 0 {
			if time.Since(begin) >= writeTimeout || !hasUnacknowledged(tcp) {
				return
			}
			left = lingerTimeout
		}
		_ = c.raw.SetReadDeadline(time.Now().Add(min(pause, left))) // a failure shows at the read
		_, err := c.limited.Read(buf)
		switch {
		case err == nil:
		case !isTimeout(err):
			return
		case left > pause:
			return // the caller has paused
		}
	}
}

// hasUnacknowledged reports whether bytes that were sent have not reached the caller's
// machine, for instance because the caller does not read.
func hasUnacknowledged(tcp *net.TCPConn) bool {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	if controlErr := raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ) }); controlErr != nil {
		return false
	}
	return err == nil && n > 0
}
