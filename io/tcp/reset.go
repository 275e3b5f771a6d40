package tcp

import (
	"net"
	"syscall"

	"github.com/pkg/errors"
)

// stateCloseWait is the kernel's TCP_CLOSE_WAIT: the remote end has closed its direction.
const stateCloseWait = 8

// errNoReset reports a connection that cannot be reset.
var errNoReset = errors.New("the connection has no SetLinger, so that it cannot be reset: wrap it in a type with NetConn")

// underlying returns the connection that c wraps, which is that of the method NetConn, as of
// tls.Conn, or c.
func underlying(c net.Conn) net.Conn {
	for {
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return c
		}
		c = wrapper.NetConn()
	}
}

// ResetOnClose chooses whether the end of a connection, by Close or the end of this process, is
// a reset at the remote end, and discards what has not been sent.
func ResetOnClose(c net.Conn, reset bool) error {
	socket, ok := underlying(c).(interface{ SetLinger(sec int) error })
	if !ok {
		return errNoReset
	}
	if reset {
		return socket.SetLinger(0)
	}
	return socket.SetLinger(-1)
}

// Reset closes a connection with a reset.
func Reset(c net.Conn) {
	_ = ResetOnClose(c, true)
	_ = underlying(c).Close()
}

// HasEnded reports whether the remote end has closed or reset the connection, which reads tell
// only after all bytes before it. It is false for a connection that is not a socket.
func HasEnded(c net.Conn) bool {
	socket, ok := underlying(c).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true
	}
	info, err := tcpInfo(raw)
	return err != nil || info.State == stateClose || info.State == stateCloseWait
}
