// Package tcp opens connections that notice when the other end has lost track
// of them.
package tcp

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// The times of a connection.
const (
	dialTimeout = time.Second
	// userTimeout is how long sent data may stay unacknowledged before the
	// kernel ends the connection (RFC 5482): time for two retransmissions on a
	// short path.
	userTimeout       = time.Second
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

var dialer = &net.Dialer{
	Timeout: dialTimeout,
	KeepAliveConfig: net.KeepAliveConfig{
		Enable:   true,
		Idle:     keepAliveIdle,
		Interval: keepAliveInterval,
		Count:    keepAliveCount,
	},
	Control: setUserTimeout,
}

// A DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// DialContext opens a TCP connection.
func DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	return dialer.DialContext(ctx, network, address)
}

// DialOrDefault returns dial, or DialContext when dial is nil.
func DialOrDefault(dial DialFunc) DialFunc {
	if dial == nil {
		return DialContext
	}
	return dial
}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var err error
	controlErr := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout/time.Millisecond))
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}

// Listener bounds what the kernel holds for the other end of each connection
// that it accepts.
type Listener struct {
	net.Listener
	WriteBufferBytes int
}

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if t, ok := c.(*net.TCPConn); ok {
		// Without the bound the connection still works.
		_ = t.SetWriteBuffer(l.WriteBufferBytes)
	}
	return c, nil
}

// Reusable reports whether an idle connection is open with nothing pending. Bytes
// that nobody asked for, or an end, mean that it must not be used again.
// Connections that are no sockets count as quiet.
func Reusable(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		n, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = n <= 0 && errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}
