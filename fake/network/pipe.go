package network

import (
	"io"
	"net"
	"os"
	"slices"
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
	from, to      *link // of the writing and the reading end; nil for unlimited ones

	mu         sync.Mutex
	data       []byte        // that has arrived; guarded by mu
	underway   []segment     // that has not, in order; guarded by mu
	delay      time.Duration // of what is written from now on; guarded by mu
	err        error         // guarded by mu; returned by reads once data is empty
	closed     bool          // guarded by mu
	blackholed bool          // guarded by mu; drops all data and orderly closes
	change     chan struct{} // guarded by mu; closed and replaced at each change
}

// A segment is what one write has put into a pipe, and arrives later.
type segment struct {
	arrives time.Time
	data    []byte
}

func newPipe() *pipe { return &pipe{change: make(chan struct{})} }

// notifyChange wakes all waiting readers and writers. The caller holds mu.
func (p *pipe) notifyChange() {
	close(p.change)
	p.change = make(chan struct{})
}

func (p *pipe) setDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// arrive moves what has arrived by now to data. It returns the time until the next segment
// arrives, or 0 if there is none. The caller holds mu.
func (p *pipe) arrive(now time.Time) (next time.Duration) {
	for len(p.underway) > 0 {
		first := p.underway[0]
		if first.arrives.After(now) {
			return first.arrives.Sub(now)
		}
		p.data = append(p.data, first.data...)
		p.underway = p.underway[1:]
	}
	return 0
}

// size returns the number of bytes that have not been read. The caller holds mu.
func (p *pipe) size() int {
	n := len(p.data)
	for _, s := range p.underway {
		n += len(s.data)
	}
	return n
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

// abandon ends the pipe as its reading end does: what it has not read is lost.
func (p *pipe) abandon() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeLocked(net.ErrClosed)
	p.data, p.underway = nil, nil
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
		n, change, next, err := p.tryRead(b)
		if n > 0 || err != nil {
			return n, err
		}
		var arrival <-chan time.Time
		if next > 0 {
			arrival = time.After(next)
		}
		select {
		case <-change:
		case <-arrival:
		case <-p.readDeadline.wait():
			return 0, os.ErrDeadlineExceeded
		}
	}
}

// tryRead returns the number of bytes read. If it is 0 without an error, the caller tries
// again when the channel is closed or, if next is above 0, after that time.
func (p *pipe) tryRead(b []byte) (n int, change chan struct{}, next time.Duration, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.readDeadline.expired() {
		return 0, nil, 0, os.ErrDeadlineExceeded
	}
	next = p.arrive(time.Now())
	if len(p.data) > 0 && !p.blackholed {
		n = copy(b, p.data)
		p.data = p.data[n:]
		p.notifyChange()
		return n, nil, 0, nil
	}
	if p.closed && len(p.underway) == 0 {
		return 0, nil, 0, p.err
	}
	return 0, p.change, next, nil
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
	n := min(len(b), pipeBufferBytes-p.size())
	if n <= 0 {
		return 0, p.change, nil
	}
	if p.delay == 0 && len(p.underway) == 0 && p.from == nil && p.to == nil {
		p.data = append(p.data, b[:n]...)
	} else {
		p.underway = append(p.underway, segment{arrives: p.nextArrival(n), data: slices.Clone(b[:n])})
	}
	p.notifyChange()
	return n, nil, nil
}

// nextArrival returns when n bytes that are written now arrive: not before what was written
// earlier. The caller holds mu.
func (p *pipe) nextArrival(n int) time.Time {
	at := p.to.in(p.from.out(time.Now(), n).Add(p.delay), n)
	if n := len(p.underway); n > 0 && p.underway[n-1].arrives.After(at) {
		return p.underway[n-1].arrives
	}
	return at
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
