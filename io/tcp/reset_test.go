package tcp

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// A wrapper hides all methods of a connection that net.Conn does not have.
type wrapper struct{ net.Conn }

// NetConn returns the connection, as that of tls.Conn does.
func (w wrapper) NetConn() net.Conn { return w.Conn }

func TestResetOnClose(t *testing.T) {
	tests := []struct {
		name string
		end  func(c net.Conn)
		want error
	}{
		{name: "closed", end: func(c net.Conn) { _ = c.Close() }, want: io.EOF},
		{name: "closed with a reset", end: func(c net.Conn) { _, _ = ResetOnClose(c, true), c.Close() }, want: syscall.ECONNRESET},
		{name: "closed without a reset after all", end: func(c net.Conn) { _, _, _ = ResetOnClose(c, true), ResetOnClose(c, false), c.Close() }, want: io.EOF},
		{name: "reset", end: Reset, want: syscall.ECONNRESET},
		{name: "wrapped and reset", end: func(c net.Conn) { Reset(wrapper{wrapper{c}}) }, want: syscall.ECONNRESET},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			near, far := connect(t)
			tt.end(near)
			_, err := far.Read(make([]byte, 1))
			is.True(errors.Is(err, tt.want))
		})
	}
	c, _ := net.Pipe()
	is.New(t).True(errors.Is(ResetOnClose(c, true), errNoReset))
}

func TestHasEnded(t *testing.T) {
	tests := []struct {
		name string
		end  func(near, far *net.TCPConn)
		want bool
	}{
		{name: "open", end: func(_, _ *net.TCPConn) {}},
		{name: "remote end has closed its direction", end: func(_, far *net.TCPConn) { _ = far.CloseWrite() }, want: true},
		{name: "reset", end: func(_, far *net.TCPConn) { Reset(far) }, want: true},
		{name: "closed here", end: func(near, _ *net.TCPConn) { _ = near.Close() }, want: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			near, far := connect(t)
			_, err := far.Write([]byte("unread"))
			is.NoErr(err)
			tt.end(near, far)
			time.Sleep(20 * time.Millisecond)
			is.Equal(HasEnded(wrapper{near}), tt.want)
		})
	}
}

func TestSetTimeouts(t *testing.T) {
	is := is.New(t)
	_, far := connect(t)
	is.NoErr(SetTimeouts(wrapper{far}, 3*time.Second))
	raw, err := far.SyscallConn()
	is.NoErr(err)
	for option, want := range map[int]int{unix.TCP_USER_TIMEOUT: 3000, unix.TCP_KEEPIDLE: 1, unix.TCP_KEEPINTVL: 1, unix.TCP_KEEPCNT: keepAliveCount} {
		var got int
		is.NoErr(raw.Control(func(fd uintptr) { got, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option) }))
		is.NoErr(err)
		is.Equal(got, want)
	}
	c, _ := net.Pipe()
	is.NoErr(SetTimeouts(c, time.Second)) // no socket
}
