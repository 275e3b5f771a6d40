package tcp

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// acceptDrainTime is how long a listener that is being closed still accepts
// connections. The kernel has completed those in its queue, so their requests may
// have arrived; closing the socket would reset them.
const acceptDrainTime = 5 * time.Millisecond

// emptyTries is the number of such times in a row without a connection after which
// the queue counts as empty.
const emptyTries = 6

// A DrainingListener can accept the connections in the kernel's queue before it is
// closed. Accept must be called in a loop, as http.Server does.
type DrainingListener struct {
	net.Listener
	closeBy atomic.Int64  // Unix nanoseconds; 0 until Drain is called
	drained chan struct{} // closed when Accept has ended
	once    sync.Once
}

// NewDrainingListener returns a listener that accepts the connections of l.
func NewDrainingListener(l net.Listener) *DrainingListener {
	return &DrainingListener{Listener: l, drained: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *DrainingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	// A wait can end before the queue was looked at, if the process was delayed.
	for tries := 0; tries < emptyTries && l.closeBy.Load() > 0 && errors.Is(err, os.ErrDeadlineExceeded); tries++ {
		l.setDeadline()
		c, err = l.Listener.Accept()
	}
	if err != nil && !isPassing(err) {
		if l.closeBy.Load() > 0 && errors.Is(err, os.ErrDeadlineExceeded) {
			err = net.ErrClosed
		}
		l.once.Do(func() { close(l.drained) })
	}
	return c, err
}

// setDeadline ends waits for connections after acceptDrainTime. It reports whether
// the listener supports that.
func (l *DrainingListener) setDeadline() bool {
	d, ok := l.Listener.(interface{ SetDeadline(time.Time) error })
	if !ok {
		return false
	}
	deadline := time.Now().Add(acceptDrainTime)
	if closeBy := time.Unix(0, l.closeBy.Load()); closeBy.Before(deadline) {
		deadline = closeBy
	}
	return d.SetDeadline(deadline) == nil
}

// Drain returns when no connection has arrived for a while, or after the limit; Accept then fails with net.ErrClosed. It returns at once if the listener has
// no deadlines.
func (l *DrainingListener) Drain(limit time.Duration) {
	l.closeBy.CompareAndSwap(0, time.Now().Add(limit).UnixNano())
	if l.setDeadline() {
		<-l.drained
	}
}
