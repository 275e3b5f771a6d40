package engine

import (
	"bufio"
	"net"
	"net/http"
	"sync"
	"time"

	"banyanyard/io/http1"
)

const writeBufferBytes = 4 << 10

var requestWriters = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferBytes) }}

// A conn is one connection to an engine, used by one attempt at a time.
type conn struct {
	net.Conn
	address       string
	reader        *http1.ResponseReader
	reused        bool
	idleSince     time.Time
	detachContext func() bool // stops the attempt's context from closing the connection
}

// send writes the request of an attempt and reads the response header.
func (c *conn) send(a Attempt) (*http.Response, error) {
	request := newRequest(a)
	// Also bounds the write, so that an engine that reads slowly cannot block the
	// attempt for longer.
	c.setTimeout(a.FirstByteTimeout)
	w := requestWriters.Get().(*bufio.Writer)
	w.Reset(c.Conn)
	err := request.Write(w)
	if err == nil {
		err = w.Flush()
	}
	w.Reset(nil)
	requestWriters.Put(w)
	if err != nil {
		return nil, err
	}
	return c.reader.ReadResponse(request)
}

// setTimeout makes reads and writes fail after d; zero means no timeout.
func (c *conn) setTimeout(d time.Duration) {
	deadline := time.Time{}
	if d > 0 {
		deadline = time.Now().Add(d)
	}
	// The read or write that follows reports a failure.
	_ = c.SetDeadline(deadline)
}

// discard closes the connection.
func (c *conn) discard() {
	c.detachContext()
	_ = c.Close()
}
