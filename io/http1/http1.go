// Package http1 sends requests to upstreams over HTTP/1.1 on connections of its
// own, so that it knows whether a byte of a request left, and nothing is sent a
// second time behind the router's back.
//
// Invariants:
//   - a connection carries one request at a time, and is kept only when its
//     answer was read to the end, with nothing behind it;
//   - a kept connection with bytes pending is closed, never used;
//   - an answer that ends early is an error.
package http1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"banyanyard/io/tcp"

	"github.com/pkg/errors"
)

const (
	// readBufferBytes holds a few events of a stream, or a small answer.
	readBufferBytes = 4 << 10
	// maxIdlePerUpstream bounds the kept connections to one upstream.
	maxIdlePerUpstream = 16
	// defaultIdle is how long a connection is kept when its upstream states no
	// time of its own.
	defaultIdle = 4 * time.Second
	// idleMargin is subtracted from the time that an upstream states, so that
	// a request does not cross its close.
	idleMargin = 500 * time.Millisecond
	// inlineBodyBytes is the largest body that is written before the answer is
	// read. It fits the socket's send buffer.
	inlineBodyBytes = 16 << 10
	// maxForeign bounds the answers to other requests that are skipped on one
	// connection.
	maxForeign = 2
)

// An UnreachableError reports that no connection could be opened. The request
// was not sent.
type UnreachableError struct {
	Address string
	Cause   error
}

func (e *UnreachableError) Error() string {
	return "no connection to " + e.Address + " could be opened (" + e.Cause.Error() + "): try another upstream"
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// A BrokenError reports a request that was sent, at least in part, and has no
// answer. It may have run.
type BrokenError struct {
	Address string
	Reused  bool // the connection had carried a request before
	Cause   error
}

func (e *BrokenError) Error() string {
	return "the answer of " + e.Address + " broke off (" + e.Cause.Error() + "): the request may have run"
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }

// A Field is one header field.
type Field struct{ Name, Value string }

// A Request is sent to one upstream.
type Request struct {
	Method string
	Target string // path and query, as sent
	Host   string
	Header []Field
	Body   []byte
	// Fresh asks for a connection that has carried nothing yet.
	Fresh bool
	// EchoName and Echo are a header field that the answer must repeat. An
	// answer with another value belongs to another request.
	EchoName, Echo string
	// HeadTimeout bounds the wait for the answer's head; 0 means none.
	HeadTimeout time.Duration
	// DialTimeout bounds the opening of a connection; 0 means that of tcp.
	DialTimeout time.Duration
}

// A Client keeps connections to upstreams. The zero Client is ready to use.
type Client struct {
	Dial tcp.DialFunc // nil means TCP
	// Opened is called for each new connection; nil means nothing is counted.
	Opened func()

	mu   sync.Mutex
	idle map[string][]*conn // guarded by mu; by address, oldest first
}

type conn struct {
	net.Conn
	reader  *bufio.Reader
	address string
	reused  bool
	usable  time.Time     // until when it may be used again
	stop    func() bool   // detaches the context of the request
	written chan struct{} // closed when the body is written; nil when it was written inline
}

// Do sends a request and returns once the head of its answer has arrived. The
// caller must Close the answer. The end of the context closes the connection.
func (c *Client) Do(ctx context.Context, address string, r *Request) (*Answer, error) {
	cn, err := c.connection(ctx, address, r)
	if err != nil {
		return nil, &UnreachableError{Address: address, Cause: err}
	}
	cn.stop = context.AfterFunc(ctx, func() { _ = cn.Close() })
	response, err := cn.exchange(r)
	if err != nil {
		cn.discard()
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, &BrokenError{Address: address, Reused: cn.reused, Cause: err}
	}
	return &Answer{Status: response.StatusCode, Header: response.Header, Length: response.ContentLength,
		body: response.Body, close: response.Close, client: c, conn: cn, ctx: ctx}, nil
}

func (c *Client) connection(ctx context.Context, address string, r *Request) (*conn, error) {
	if !r.Fresh {
		if cn := c.takeIdle(address); cn != nil {
			return cn, nil
		}
	}
	if r.DialTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, r.DialTimeout)
		defer cancel()
	}
	raw, err := tcp.DialOrDefault(c.Dial)(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if c.Opened != nil {
		c.Opened()
	}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBufferBytes), address: address}, nil
}

// takeIdle returns the connection that was used last and closes those that can
// no longer be trusted.
func (c *Client) takeIdle(address string) *conn {
	now := time.Now()
	for {
		c.mu.Lock()
		idle := c.idle[address]
		if len(idle) == 0 {
			c.mu.Unlock()
			return nil
		}
		cn := idle[len(idle)-1]
		c.idle[address] = idle[:len(idle)-1]
		c.mu.Unlock()
		if now.Before(cn.usable) && tcp.Reusable(cn.Conn) {
			cn.reused = true
			return cn
		}
		_ = cn.Close()
	}
}

func (c *Client) put(cn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle == nil {
		c.idle = map[string][]*conn{}
	}
	idle := c.idle[cn.address]
	if len(idle) >= maxIdlePerUpstream {
		_ = idle[0].Close()
		idle = append(idle[:0], idle[1:]...)
	}
	c.idle[cn.address] = append(idle, cn)
}

// Forget closes the idle connections to an address.
func (c *Client) Forget(address string) {
	c.mu.Lock()
	idle := c.idle[address]
	delete(c.idle, address)
	c.mu.Unlock()
	for _, cn := range idle {
		_ = cn.Close()
	}
}

// Close closes all idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	all := c.idle
	c.idle = nil
	c.mu.Unlock()
	for _, idle := range all {
		for _, cn := range idle {
			_ = cn.Close()
		}
	}
}

func (cn *conn) discard() {
	if cn.stop != nil {
		cn.stop()
	}
	_ = cn.Close()
}

// exchange writes the request and reads the head of its answer.
func (cn *conn) exchange(r *Request) (*http.Response, error) {
	if r.HeadTimeout > 0 {
		if err := cn.SetDeadline(time.Now().Add(r.HeadTimeout)); err != nil {
			return nil, err
		}
	}
	if err := cn.write(r); err != nil {
		return nil, err
	}
	request := &http.Request{Method: r.Method}
	for range maxForeign {
		response, err := http.ReadResponse(cn.reader, request)
		if err != nil {
			return nil, errors.Wrap(err, "no answer")
		}
		if r.Echo == "" || response.Header.Get(r.EchoName) == r.Echo {
			return response, cn.SetDeadline(time.Time{})
		}
		if response.StatusCode >= http.StatusOK {
			if _, err := io.Copy(io.Discard, response.Body); err != nil || response.Close {
				break
			}
		}
	}
	return nil, errors.New("answers to other requests arrived")
}

func (cn *conn) write(r *Request) error {
	head := appendHead(make([]byte, 0, 1024+len(r.Body)), r)
	if len(r.Body) <= inlineBodyBytes {
		_, err := cn.Write(append(head, r.Body...))
		return err
	}
	cn.written = make(chan struct{})
	go func() {
		defer close(cn.written)
		buffers := net.Buffers{head, r.Body}
		// A failure shows when the answer is read, or the connection is
		// closed because the body was not taken.
		if _, err := buffers.WriteTo(cn.Conn); err != nil {
			_ = cn.Close()
		}
	}()
	return nil
}

func appendHead(b []byte, r *Request) []byte {
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	for _, f := range r.Header {
		b = append(b, f.Name...)
		b = append(b, ": "...)
		b = append(b, f.Value...)
		b = append(b, "\r\n"...)
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead && r.Method != http.MethodDelete {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.Body)), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// An Answer is an upstream's answer. It is used by one goroutine.
type Answer struct {
	Status int
	Header http.Header
	Length int64 // -1 when it is not stated

	body   io.ReadCloser
	close  bool
	client *Client
	conn   *conn
	ctx    context.Context
	whole  bool
}

// Read implements io.Reader. It returns io.EOF only when the answer is whole.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		a.whole = true
		return n, io.EOF
	case a.ctx.Err() != nil:
		err = &BrokenError{Address: a.conn.address, Reused: a.conn.reused, Cause: context.Cause(a.ctx)}
	default:
		err = &BrokenError{Address: a.conn.address, Reused: a.conn.reused, Cause: err}
	}
	return n, err
}

// SetReadDeadline bounds the wait for the next bytes; the zero time means no
// bound.
func (a *Answer) SetReadDeadline(t time.Time) error { return a.conn.SetReadDeadline(t) }

// Close ends the exchange. An answer that has not been read to its end is
// cancelled: its upstream sees the connection close.
func (a *Answer) Close() {
	cn := a.conn
	detached := cn.stop()
	if !a.whole || !detached || a.close || cn.reader.Buffered() > 0 || !cn.bodyWritten() || cn.SetDeadline(time.Time{}) != nil {
		_ = cn.Close()
		return
	}
	cn.usable = time.Now().Add(idleTime(a.Header.Get("Keep-Alive")))
	a.client.put(cn)
}

// bodyWritten reports whether the whole request is out. One that was answered
// before that leaves the connection in the middle of a body.
func (cn *conn) bodyWritten() bool {
	if cn.written == nil {
		return true
	}
	select {
	case <-cn.written:
		cn.written = nil
		return true
	default:
		return false
	}
}

// idleTime returns how long a connection may be kept by its Keep-Alive field.
func idleTime(field string) time.Duration {
	for part := range strings.SplitSeq(field, ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return defaultIdle
}
