package tcp

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// connect returns the ends of a TCP connection on loopback. The receive buffer of the far
// end is small, so that it does not acknowledge much that its process has not read.
func connect(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		controlErr := c.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 16<<10) })
		return errors.Join(err, controlErr)
	}}
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	c, err := DialContext(t.Context(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = c.Close(), accepted.Close() })
	return c.(*net.TCPConn), accepted.(*net.TCPConn)
}

func readAll(c net.Conn, size int) {
	for buffer := make([]byte, 4<<10); size > 0; {
		n, err := c.Read(buffer)
		if size -= n; err != nil {
			return
		}
	}
}

func TestAwaitReceipt(t *testing.T) {
	const size = 200 << 10 // more than the far end acknowledges without a read
	tests := []struct {
		name  string
		after func(near, far *net.TCPConn) // is called once all has been written
		want  error
	}{
		{name: "read", after: func(_, far *net.TCPConn) { readAll(far, size) }},
		{name: "read after the far end has closed its direction", after: func(_, far *net.TCPConn) {
			_ = far.CloseWrite()
			readAll(far, size)
		}},
		{name: "reset after all was read", after: func(_, far *net.TCPConn) {
			readAll(far, size)
			_ = far.SetLinger(0)
			_ = far.Close()
		}},
		{name: "reset", after: func(_, far *net.TCPConn) {
			_ = far.SetLinger(0)
			_ = far.Close()
		}, want: errReset},
		{name: "reset after the far end has closed its direction", after: func(_, far *net.TCPConn) {
			_ = far.CloseWrite()
			_ = far.SetLinger(0)
			_ = far.Close()
		}, want: errReset},
		{name: "closed", after: func(near, _ *net.TCPConn) { _ = near.Close() }, want: net.ErrClosed},
		{name: "never read", want: os.ErrDeadlineExceeded},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			near, far := connect(t)
			is.NoErr(near.SetWriteBuffer(4 * size))
			n, err := near.Write(make([]byte, size))
			is.NoErr(err)
			deadline := time.Now().Add(5 * time.Second)
			switch {
			case tt.after == nil:
				deadline = time.Now().Add(50 * time.Millisecond)
			default:
				go tt.after(near, far)
			}
			is.True(errors.Is(AwaitReceipt(near, int64(n), deadline), tt.want))
		})
	}
}

// TestAwaitReceiptOfOtherConnections uses a connection that has no socket.
func TestAwaitReceiptOfOtherConnections(t *testing.T) {
	is := is.New(t)
	c, _ := net.Pipe()
	is.NoErr(AwaitReceipt(c, 1, time.Time{}))
}
