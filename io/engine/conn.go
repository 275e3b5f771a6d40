package engine

import (
	"bufio"
	"net"
	"net/http"
	"sync"
	"time"
)

const writeBufferBytes = 4 << 10

var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferBytes) }}

// A conn is one connection to an engine, used by one attempt at a time.
type conn struct {
	net.Conn
	address   string
	reader    *bufio.Reader
	reused    bool
	idleSince time.Time
	stop      func() bool // detaches the connection from the attempt's context
}

// send writes the request of an attempt and reads the header of its answer.
func (c *conn) send(a Attempt) (*http.Response, error) {
	request := newRequest(a)
	// An engine that reads slowly holds up one attempt at most this long.
	c.within(a.FirstByte)
	w := writers.Get().(*bufio.Writer)
	w.Reset(c.Conn)
	err := request.Write(w)
	if err == nil {
		err = w.Flush()
	}
	w.Reset(nil)
	writers.Put(w)
	if err != nil {
		return nil, err
	}
	return http.ReadResponse(c.reader, request)
}

// within bounds the wait for the next bytes; zero means no bound.
func (c *conn) within(d time.Duration) {
	deadline := time.Time{}
	if d > 0 {
		deadline = time.Now().Add(d)
	}
	// A failure shows in the read or write that follows.
	_ = c.SetDeadline(deadline)
}

// discard closes the connection for good.
func (c *conn) discard() {
	c.stop()
	_ = c.Close()
}
