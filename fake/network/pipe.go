package network

import (
	"io"
	"os"
	"sync"
	"syscall"
	"time"
)

// pipeBufferBytes is the capacity of a connection in one direction. It stands
// for the socket buffers of both kernels.
const pipeBufferBytes = 64 << 10

// A pipe carries the bytes of one direction of a connection.
type pipe struct {
	readDeadline  deadline
	writeDeadline deadline

	mu         sync.Mutex
	data       []byte        // guarded by mu
	err        error         // guarded by mu; returned by reads once data is empty
	closed     bool          // guarded by mu
	blackholed bool          // guarded by mu; drops all data and orderly closes
	change     chan struct{} // guarded by mu; closed and replaced at each change
}

func newPipe() *pipe { return &pipe{change: make(chan struct{})} }

// notifyChange wakes all waiting readers and writers. The caller holds mu.
func (p *pipe) notifyChange() {
	close(p.change)
	p.change = make(chan struct{})
}

func (p *pipe) blackhole() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blackholed = true
	p.notifyChange()
}

// close ends the pipe. Readers get the remaining data and then err, or io.EOF if
// err is nil. A blackholed pipe ignores a close without an error, which would
// come from the writing end.
func (p *pipe) close(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeLocked(err)
}

// closeLocked is close for a caller that holds mu.
func (p *pipe) closeLocked(err error) {
	if p.closed || p.blackholed && err == nil {
		return
	}
	p.closed = true
	p.err = err
	if err == nil {
		p.err = io.EOF
	}
	p.notifyChange()
}

// reset ends the pipe as a reset by the writing end does. A blackholed pipe ignores it.
func (p *pipe) reset() {
	p.mu.Lock()
	blackholed := p.blackholed
	p.mu.Unlock()
	if !blackholed {
		p.close(syscall.ECONNRESET)
	}
}

func (p *pipe) read(b []byte) (int, error) {
	for {
		n, change, err := p.tryRead(b)
		if n > 0 || err != nil {
			return n, err
		}
		select {
		case <-change:
		case <-p.readDeadline.wait():
			return 0, os.ErrDeadlineExceeded
		}
	}
}

func (p *pipe) tryRead(b []byte) (int, chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.readDeadline.expired() {
		return 0, nil, os.ErrDeadlineExceeded
	}
	if len(p.data) > 0 && !p.blackholed {
		n := copy(b, p.data)
		p.data = p.data[n:]
		p.notifyChange()
		return n, nil, nil
	}
	if p.closed {
		return 0, nil, p.err
	}
	return 0, p.change, nil
}

func (p *pipe) write(b []byte) (int, error) {
	written := 0
	for written < len(b) {
		n, change, err := p.tryWrite(b[written:])
		written += n
		if err != nil {
			return written, err
		}
		if n > 0 {
			continue
		}
		select {
		case <-change:
		case <-p.writeDeadline.wait():
			return written, os.ErrDeadlineExceeded
		}
	}
	return written, nil
}

func (p *pipe) tryWrite(b []byte) (int, chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.writeDeadline.expired():
		return 0, nil, os.ErrDeadlineExceeded
	case p.blackholed:
		return len(b), nil, nil
	case p.closed:
		return 0, nil, io.ErrClosedPipe
	}
	n := min(len(b), pipeBufferBytes-len(p.data))
	if n == 0 {
		return 0, p.change, nil
	}
	p.data = append(p.data, b[:n]...)
	p.notifyChange()
	return n, nil, nil
}

// A deadline is a point in time that can be waited for and changed. The zero
// deadline never expires.
type deadline struct {
	mu    sync.Mutex
	timer *time.Timer   // guarded by mu
	done  chan struct{} // guarded by mu; closed when the deadline expires
}

func (d *deadline) set(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.timer != nil && !d.timer.Stop() {
		<-d.done // the timer has fired; its function closes done
	}
	d.timer = nil
	if d.done == nil || isClosed(d.done) {
		d.done = make(chan struct{})
	}
	if t.IsZero() {
		return
	}
	wait := time.Until(t)
	if wait <= 0 {
		close(d.done)
		return
	}
	done := d.done
	d.timer = time.AfterFunc(wait, func() { close(done) })
}

// wait returns a channel that is closed when the deadline expires. A later set
// may replace the channel.
func (d *deadline) wait() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.done == nil {
		d.done = make(chan struct{})
	}
	return d.done
}

func (d *deadline) expired() bool { return isClosed(d.wait()) }

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
