package tcp

import (
	"net"
	"os"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// receiptPollInterval is the time between two looks at what has been acknowledged, of
	// which the kernel does not notify.
	receiptPollInterval = 2 * time.Millisecond
	// stateClose is the kernel's TCP_CLOSE: the connection was reset, or has timed out.
	stateClose = 7
)

// errReset reports that the remote end did not receive everything.
var errReset = errors.New("the connection was reset before the remote end had received everything")

// AwaitReceipt waits until the remote end has acknowledged sent bytes, which is all that was
// ever written to the connection. It returns an error if the connection is reset, times out or
// is closed before that, or at the deadline; the zero time means none. It returns nil at once
// for a connection that is not a socket.
func AwaitReceipt(c net.Conn, sent int64, deadline time.Time) error {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	for {
		info, err := tcpInfo(raw)
		switch {
		case err != nil:
			return err
		case info.State == stateClose && info.Bytes_acked <= uint64(sent): // the SYN counts too
			return errReset
		case info.State == stateClose || info.Unacked == 0 && info.Notsent_bytes == 0:
			return nil
		case !deadline.IsZero() && !time.Now().Before(deadline):
			return os.ErrDeadlineExceeded
		}
		time.Sleep(receiptPollInterval)
	}
}

func tcpInfo(c syscall.RawConn) (info *unix.TCPInfo, err error) {
	controlErr := c.Control(func(fd uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if controlErr != nil {
		return nil, controlErr
	}
	return info, err
}
