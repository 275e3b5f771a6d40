// Package tcp opens TCP connections that fail within seconds when the remote end
// no longer acknowledges data or keep-alive probes.
package tcp

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Timeouts and keep-alive settings of a connection.
const (
	dialTimeout = time.Second
	// userTimeout is how long sent data may stay unacknowledged by default before the
	// kernel closes the connection (RFC 5482): long enough for two
	// retransmissions on a path with a short round trip. See SetUserTimeout.
	userTimeout       = time.Second
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

var keepAlive = net.KeepAliveConfig{
	Enable:   true,
	Idle:     keepAliveIdle,
	Interval: keepAliveInterval,
	Count:    keepAliveCount,
}

var dialer = &net.Dialer{
	Timeout:         dialTimeout,
	KeepAliveConfig: keepAlive,
	Control:         func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c, userTimeout) },
}

// A DialFunc opens a connection, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// DialContext opens a TCP connection with the timeouts of this package.
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

// SetUserTimeout sets how long sent data and keep-alive probes may stay unacknowledged, or
// data wait for a remote end that reads nothing, before the kernel closes the connection; 0
// means the default of this package. It does nothing for a connection that is not a socket.
func SetUserTimeout(c net.Conn, d time.Duration) error {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	if d == 0 {
		d = userTimeout
	}
	return setUserTimeout(raw, d)
}

func setUserTimeout(c syscall.RawConn, d time.Duration) error {
	var err error
	controlErr := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d/time.Millisecond))
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}

// SetTimeouts gives an accepted connection the keep-alive settings of this package and a user
// timeout, see SetUserTimeout. It does nothing for a connection that is not a socket.
func SetTimeouts(c net.Conn, userTimeout time.Duration) error {
	c = underlying(c)
	if k, ok := c.(interface {
		SetKeepAliveConfig(net.KeepAliveConfig) error
	}); ok {
		if err := k.SetKeepAliveConfig(keepAlive); err != nil {
			return err
		}
	}
	return SetUserTimeout(c, userTimeout)
}

// A Listener limits the kernel's send buffer of each connection that it accepts
// to WriteBufferBytes.
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
		// The connection also works without the limit.
		_ = t.SetWriteBuffer(l.WriteBufferBytes)
	}
	return c, nil
}

// Reusable reports whether an idle connection is open and has no unread bytes.
// Unsolicited bytes or an end of file mean that it must not be used again.
// A connection that is not a socket counts as reusable.
func Reusable(c net.Conn) bool {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		n, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		reusable = n <= 0 && errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && reusable
}
