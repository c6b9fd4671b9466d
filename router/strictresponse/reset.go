package strictresponse

import (
	"errors"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// errReset is the error of a response without a length whose connection did not end in
// order.
var errReset = errors.New("the connection was reset before the end of the response")

// writeState is the first error of Write.
type writeState struct {
	sync.Mutex
	err error
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writes.Lock()
	defer c.writes.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && c.writes.err == nil {
		c.writes.err = err
	}
	return n, err
}

// wasReset reports whether the connection has ended with an error, after Read returned
// io.EOF. The kernel reports the error of a socket to one call only. If that is a Write,
// Read returns io.EOF as if the server had closed the connection.
func (c *Conn) wasReset() bool {
	state, pending, ok := socketState(c.Conn)
	if ok && state == unix.BPF_TCP_CLOSE_WAIT {
		return false
	}
	// A Write in progress fails at once if the connection has ended.
	c.writes.Lock()
	defer c.writes.Unlock()
	err := c.writes.err
	if err == nil {
		err = pending
	}
	if !ok {
		return err != nil
	}
	// EPIPE is the error of a reset that came after the server had closed its side.
	return !errors.Is(err, syscall.EPIPE)
}

// socketState returns the state of a TCP connection and the error that no call has returned
// yet. It returns false if conn is not a socket.
func socketState(conn net.Conn) (state uint8, pending error, ok bool) {
	for {
		wrapped, isWrapped := conn.(interface{ NetConn() net.Conn })
		if !isWrapped {
			break
		}
		conn = wrapped.NetConn()
	}
	sc, isSocket := conn.(syscall.Conn)
	if !isSocket {
		return 0, nil, false
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return 0, nil, false
	}
	err = rc.Control(func(fd uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if infoErr != nil {
			return
		}
		state, ok = info.State, true
		if code, optErr := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR); optErr == nil && code != 0 {
			pending = syscall.Errno(code)
		}
	})
	return state, pending, ok && err == nil
}
