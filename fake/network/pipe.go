package network

import (
	"io"
	"os"
	"sync"
	"time"
)

// pipeBytes is what a connection holds in one direction, like the buffers of
// the two kernels.
const pipeBytes = 64 << 10

// A pipe carries bytes in one direction.
type pipe struct {
	readDeadline  deadline
	writeDeadline deadline

	mu     sync.Mutex
	data   []byte        // guarded by mu
	err    error         // guarded by mu; of reads after the data
	closed bool          // guarded by mu
	silent bool          // guarded by mu; swallows everything, also a close
	change chan struct{} // guarded by mu; closed and replaced at each change
}

func newPipe() *pipe { return &pipe{change: make(chan struct{})} }

// changed wakes all that wait. Its caller holds mu.
func (p *pipe) changed() {
	close(p.change)
	p.change = make(chan struct{})
}

func (p *pipe) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = true
	p.changed()
}

// close ends the pipe. Readers get what was written before it, and then err or
// io.EOF. A silent pipe only ends for an error at the reader's own end.
func (p *pipe) close(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.silent && err == nil {
		return
	}
	p.closed = true
	p.err = err
	if err == nil {
		p.err = io.EOF
	}
	p.changed()
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
	if p.readDeadline.passed() {
		return 0, nil, os.ErrDeadlineExceeded
	}
	if len(p.data) > 0 && !p.silent {
		n := copy(b, p.data)
		p.data = p.data[n:]
		p.changed()
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
	case p.writeDeadline.passed():
		return 0, nil, os.ErrDeadlineExceeded
	case p.silent:
		return len(b), nil, nil
	case p.closed:
		return 0, nil, io.ErrClosedPipe
	}
	n := min(len(b), pipeBytes-len(p.data))
	if n == 0 {
		return 0, p.change, nil
	}
	p.data = append(p.data, b[:n]...)
	p.changed()
	return n, nil, nil
}

// A deadline can be waited for and moved.
type deadline struct {
	mu    sync.Mutex
	timer *time.Timer   // guarded by mu
	done  chan struct{} // guarded by mu; closed when the deadline has passed
}

func (d *deadline) set(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.timer != nil && !d.timer.Stop() {
		<-d.done // the timer's function is about to close it
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

// wait returns a channel that is closed when the deadline passes.
func (d *deadline) wait() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.done == nil {
		d.done = make(chan struct{})
	}
	return d.done
}

func (d *deadline) passed() bool { return isClosed(d.wait()) }

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
