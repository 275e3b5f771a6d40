package tcp

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	// minAcceptPause and maxAcceptPause are the first and the longest pause after an error
	// of Accept that passes.
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = time.Second
)

// isPassing reports whether an error of Accept may pass by itself: the process or the machine
// is short of descriptors or memory, or the connection was aborted before it was accepted.
func isPassing(err error) bool {
	for _, e := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EINTR} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// AcceptLoop accepts connections and passes them to handle until the listener is closed, and
// then returns nil. It calls failed, and tries again after a pause, for errors that may pass;
// it returns others.
func AcceptLoop(ctx context.Context, l net.Listener, handle func(net.Conn), failed func(error)) error {
	pause := minAcceptPause
	for {
		c, err := l.Accept()
		switch {
		case err == nil:
			pause = minAcceptPause
			handle(c)
		case errors.Is(err, net.ErrClosed):
			return nil
		case !isPassing(err):
			return err
		default:
			failed(err)
			select {
			case <-time.After(pause):
			case <-ctx.Done():
				return nil
			}
			pause = min(2*pause, maxAcceptPause)
		}
	}
}
