// Package http1 is an HTTP/1.1 client for upstreams. It manages its own
// connections, so that it knows whether any byte of a request was sent and no
// request is retried implicitly.
//
// Invariants:
//   - a connection carries one request at a time, and is kept only if its
//     response was read to the end and nothing follows it;
//   - an idle connection with bytes pending is closed, never reused;
//   - an incomplete response is an error. One that only the end of its connection ends is
//     complete if the upstream ended it without a reset and has received the whole request;
//   - a response that cannot be one is rejected after a bounded number of bytes.
package http1

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"banyanyard/io/tcp"

	"github.com/pkg/errors"
)

const (
	// readBufferBytes holds a few events of a stream, or a small response.
	readBufferBytes = 4 << 10
	// maxIdlePerUpstream is the maximum number of idle connections per upstream.
	maxIdlePerUpstream = 16
	// defaultIdleTimeout is how long an idle connection is kept if the upstream
	// sends no Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the upstream's Keep-Alive timeout, so that no
	// request is sent while the upstream closes the connection.
	idleMargin = 500 * time.Millisecond
	// inlineBodyBytes is the largest body that is written before the response is
	// read; it fits the socket's send buffer. Larger bodies are written
	// concurrently.
	inlineBodyBytes = 16 << 10
	// giveUpInterval is the time after which Request.GiveUp is asked again.
	giveUpInterval = 100 * time.Millisecond
	// lastLookTime is how long data is read after a wait is over, before Request.GiveUp is
	// asked: it may have arrived while this process was held up.
	lastLookTime = 5 * time.Millisecond
	// prolongedUserTimeout is the least Request.UserTimeout of a wait that goes on although
	// it is over.
	prolongedUserTimeout = 5 * time.Second
	// maxMismatched is the number of responses to other requests after which a
	// request fails.
	maxMismatched = 2
)

// An UnreachableError reports that no connection could be opened. The request
// was not sent.
type UnreachableError struct {
	Address string
	Cause   error
}

func (e *UnreachableError) Error() string {
	return "cannot connect to " + e.Address + " (" + e.Cause.Error() + "): try another upstream"
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// A BrokenError reports that a request was sent, at least in part, and its
// response is missing or incomplete. The request may have run.
type BrokenError struct {
	Address string
	Reused  bool // the connection had carried an earlier request
	Cause   error
}

func (e *BrokenError) Error() string {
	return "response of " + e.Address + " is missing or incomplete (" + e.Cause.Error() + "): the request may have run"
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }

// A Field is one header field.
type Field struct{ Name, Value string }

// A Request is sent to one upstream.
type Request struct {
	Method string
	Target string // path and query, sent unchanged
	Host   string
	Header []Field
	Body   []byte
	// NewConn makes the request use a new connection instead of an idle one.
	NewConn bool
	// EchoName and EchoValue are a header field that the response must repeat. A
	// response with another value belongs to another request. An empty EchoValue
	// disables the check.
	EchoName, EchoValue string
	// EchoOptional accepts a response without the field on a new connection, which
	// is then not reused: a late copy of the response could not be recognised.
	EchoOptional bool
	// HeadTimeout bounds the time from the start of writing to the end of the
	// response head; 0 means no bound.
	HeadTimeout time.Duration
	// GiveUp is called when HeadTimeout has passed, or the time of Response.BoundWait. If it
	// returns false, the wait goes on, and GiveUp is called again later. It is called by the
	// goroutine that waits; nil means true.
	GiveUp func() bool
	// DialTimeout bounds the opening of a connection; 0 means the default of
	// package tcp.
	DialTimeout time.Duration
	// UserTimeout is how long the upstream may acknowledge or read nothing; 0 means the
	// default of package tcp.
	UserTimeout time.Duration
	// Open, if not nil, opens the connection of this request in place of Client.Dial, unless
	// an idle one is used. The connection carries no other request, and DialTimeout and UserTimeout do not apply to it.
	// size is the number of bytes of the request.
	Open func(ctx context.Context, address string, size int64) (net.Conn, error)
}

// A Client sends requests to upstreams and keeps idle connections to them. The
// zero Client is ready to use. It is safe for concurrent use.
type Client struct {
	Dial tcp.DialFunc // nil means TCP
	// OnOpen, if not nil, is called after each new connection is opened.
	OnOpen func()

	mu   sync.Mutex
	idle map[string][]*conn // guarded by mu; by address, oldest first
}

// A conn is one connection to an upstream. It carries one request at a time.
type conn struct {
	net.Conn
	reader        *ResponseReader
	address       string
	reused        bool
	single        bool          // opened by Request.Open
	usableUntil   time.Time     // when the idle connection expires
	userTimeout   time.Duration // see Request.UserTimeout
	giveUp        func() bool   // decides whether a read fails at its deadline; nil means that it does
	overdue       bool          // the wait is over, and what had arrived is being read
	detachContext func() bool   // stops the request's context from closing the connection
	written       chan struct{} // closed once the body is written, or writing it has failed; nil if it was written inline
	writeErr      error         // of writing the body; may be read once written is closed
	sent          int64         // bytes of all requests so far; may be read once written is closed
}

// Do sends a request and returns once the head of its response has arrived. The
// caller must close the response. The connection is closed when ctx ends. Errors
// are an UnreachableError or a BrokenError.
func (c *Client) Do(ctx context.Context, address string, r *Request) (*Response, error) {
	head := appendHead(make([]byte, 0, 1024+len(r.Body)), r)
	cn, err := c.getConn(ctx, address, r, int64(len(head)+len(r.Body)))
	if err != nil {
		return nil, &UnreachableError{Address: address, Cause: err}
	}
	cn.detachContext = context.AfterFunc(ctx, func() { _ = cn.Close() })
	response, err := cn.roundTrip(r, head)
	if err != nil {
		cn.discard()
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, &BrokenError{Address: address, Reused: cn.reused, Cause: err}
	}
	return &Response{Status: response.StatusCode, Header: response.Header, ContentLength: response.ContentLength,
		EndsWithConn: EndsWithConn(response),
		body:         response.Body, connClose: response.Close || !r.echoedBy(response) || cn.single, client: c, conn: cn, ctx: ctx, giveUp: r.GiveUp}, nil
}

// getConn returns a connection for a request of size bytes.
func (c *Client) getConn(ctx context.Context, address string, r *Request, size int64) (*conn, error) {
	cn, err := c.idleOrNew(ctx, address, r, size)
	if err != nil || cn.single {
		return cn, err
	}
	if err := cn.setUserTimeout(r.UserTimeout); err != nil {
		_ = cn.Close()
		return nil, err
	}
	return cn, nil
}

// idleOrNew returns an idle connection or opens a new one.
func (c *Client) idleOrNew(ctx context.Context, address string, r *Request, size int64) (*conn, error) {
	if !r.NewConn {
		if cn := c.takeIdle(address); cn != nil {
			return cn, nil
		}
	}
	if r.Open != nil {
		raw, err := r.Open(ctx, address, size)
		if err != nil {
			return nil, err
		}
		cn := newConn(raw, address)
		cn.single = true
		return cn, nil
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
	if c.OnOpen != nil {
		c.OnOpen()
	}
	return newConn(raw, address), nil
}

func newConn(raw net.Conn, address string) *conn {
	cn := &conn{Conn: raw, address: address}
	cn.reader = NewResponseReader(cn, readBufferBytes)
	return cn
}

// Read implements io.Reader. At its deadline it asks whether to wait on.
func (cn *conn) Read(p []byte) (int, error) {
	for {
		n, err := cn.Conn.Read(p)
		if cn.giveUp == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		wait := giveUpInterval
		switch {
		case !cn.overdue:
			cn.overdue, wait = true, lastLookTime
		case cn.giveUp():
			return n, err
		case cn.setUserTimeout(max(cn.userTimeout, prolongedUserTimeout)) != nil:
			return n, err
		}
		if err := cn.SetReadDeadline(time.Now().Add(wait)); err != nil {
			return n, err
		}
	}
}

// givesUp reports whether a wait that has come to its deadline fails.
func (cn *conn) givesUp() bool { return cn.giveUp == nil || cn.giveUp() }

// takeIdle removes and returns the most recently used idle connection, or nil. It
// closes connections that have expired, have bytes pending or were closed.
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
		if now.Before(cn.usableUntil) && tcp.Reusable(cn.Conn) {
			cn.reused = true
			return cn
		}
		_ = cn.Close()
	}
}

// putIdle adds an idle connection. If there are too many, it closes the oldest.
func (c *Client) putIdle(cn *conn) {
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

// CloseExpired closes the idle connections that have expired, among them those to upstreams
// that get no more requests. It is to be called regularly. It returns the number of idle
// connections that are left.
func (c *Client) CloseExpired(now time.Time) int {
	var expired []*conn
	left := 0
	c.mu.Lock()
	for address, idle := range c.idle {
		kept := idle[:0]
		for _, cn := range idle {
			if now.Before(cn.usableUntil) {
				kept = append(kept, cn)
			} else {
				expired = append(expired, cn)
			}
		}
		left += len(kept)
		clear(idle[len(kept):])
		if len(kept) == 0 {
			delete(c.idle, address)
		} else {
			c.idle[address] = kept
		}
	}
	c.mu.Unlock()
	for _, cn := range expired {
		_ = cn.Close()
	}
	return left
}

// CloseIdle closes the idle connections to an address.
func (c *Client) CloseIdle(address string) {
	c.mu.Lock()
	idle := c.idle[address]
	delete(c.idle, address)
	c.mu.Unlock()
	for _, cn := range idle {
		_ = cn.Close()
	}
}

// Close closes the idle connections to all addresses.
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

func (cn *conn) setUserTimeout(d time.Duration) error {
	if cn.userTimeout == d {
		return nil
	}
	cn.userTimeout = d
	return tcp.SetUserTimeout(cn.Conn, d)
}

func (cn *conn) discard() {
	if cn.detachContext != nil {
		cn.detachContext()
	}
	_ = cn.Close()
}

// roundTrip writes the request, whose head is given, and reads the head of its response.
func (cn *conn) roundTrip(r *Request, head []byte) (*http.Response, error) {
	cn.giveUp, cn.overdue = r.GiveUp, false
	var deadline time.Time
	if r.HeadTimeout > 0 {
		deadline = time.Now().Add(r.HeadTimeout)
	}
	if err := cn.SetReadDeadline(deadline); err != nil {
		return nil, err
	}
	if err := cn.write(head, r.Body, deadline); err != nil {
		return nil, err
	}
	request := &http.Request{Method: r.Method}
	for range maxMismatched {
		response, err := cn.reader.ReadResponse(request)
		if err != nil {
			return nil, errors.Wrap(err, "read response")
		}
		if r.echoedBy(response) || r.EchoOptional && !cn.reused && response.Header.Get(r.EchoName) == "" {
			return response, cn.SetDeadline(time.Time{})
		}
		if !discard(response) {
			break
		}
	}
	return nil, errors.New("received only responses to other requests")
}

// echoedBy reports whether the response repeats the request's field, or need not.
func (r *Request) echoedBy(response *http.Response) bool {
	return r.EchoValue == "" || response.Header.Get(r.EchoName) == r.EchoValue
}

// write sends the request. It writes a body over inlineBodyBytes in a goroutine,
// so that the response can be read meanwhile; a deadline is then for reading alone.
func (cn *conn) write(head, body []byte, deadline time.Time) error {
	if len(body) <= inlineBodyBytes {
		if err := cn.SetWriteDeadline(deadline); err != nil {
			return err
		}
		n, err := cn.Write(append(head, body...))
		cn.sent += int64(n)
		return err
	}
	cn.written = make(chan struct{})
	go func() {
		defer close(cn.written)
		buffers := net.Buffers{head, body}
		n, err := buffers.WriteTo(cn.Conn)
		cn.sent += n
		cn.writeErr = err
		if err != nil {
			// Makes the read of the response fail.
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

// A Response is an upstream's response. It is not safe for concurrent use.
type Response struct {
	Status        int
	Header        http.Header
	ContentLength int64 // -1 if unknown
	// EndsWithConn is true if the body has neither a length nor chunks, so that only the
	// end of the connection ends it. The end of an upstream's process may look the same.
	EndsWithConn bool

	body      io.ReadCloser
	connClose bool
	client    *Client
	conn      *conn
	ctx       context.Context
	complete  bool
	deadline  time.Time // for reads; zero means none
	giveUp    func() bool
}

// Read implements io.Reader. It returns io.EOF only at the end of a complete
// response, and a BrokenError if the response ends early.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if errors.Is(err, io.EOF) {
		err = r.confirmEnd()
		if err == nil {
			r.complete = true
			return n, io.EOF
		}
	}
	switch {
	case err == nil:
	case r.ctx.Err() != nil:
		err = r.Broken(context.Cause(r.ctx))
	default:
		err = r.Broken(err)
	}
	return n, err
}

// confirmEnd returns an error if the end of the connection does not show that the body is
// complete. The kernel reports a reset once, to the first call on the socket. If that is the
// concurrent write of the request, reads only see an end of file. So do reads after the
// upstream closed the connection, even if it is then reset because the upstream does not
// read the rest of the request.
func (r *Response) confirmEnd() error {
	if !r.EndsWithConn || r.complete {
		return nil
	}
	for {
		err := r.awaitReceipt()
		if !errors.Is(err, os.ErrDeadlineExceeded) || r.conn.givesUp() {
			return err
		}
		r.deadline = time.Now().Add(giveUpInterval)
	}
}

func (r *Response) awaitReceipt() error {
	if err := r.conn.awaitWritten(r.deadline); err != nil {
		return errors.Wrap(err, "the connection ended before the request was written")
	}
	return tcp.AwaitReceipt(r.conn.Conn, r.conn.sent, r.deadline)
}

// Broken returns a BrokenError for a response that is incomplete for the given cause.
func (r *Response) Broken(cause error) error {
	return &BrokenError{Address: r.conn.address, Reused: r.conn.reused, Cause: cause}
}

// SetReadDeadline sets the deadline for reads; the zero time means none.
func (r *Response) SetReadDeadline(t time.Time) error {
	r.conn.giveUp = nil
	r.deadline = t
	return r.conn.SetReadDeadline(t)
}

// BoundWait sets the time at which Request.GiveUp decides whether reads fail; the zero time
// means none.
func (r *Response) BoundWait(t time.Time) error {
	r.conn.giveUp, r.conn.overdue = r.giveUp, false
	r.deadline = t
	return r.conn.SetReadDeadline(t)
}

// Close keeps the connection for reuse if the response was read to its end.
// Otherwise it closes the connection, by which the upstream learns that the
// request is cancelled.
func (r *Response) Close() {
	cn := r.conn
	detached := cn.detachContext()
	if !r.complete || !detached || r.connClose || cn.reader.Buffered() > 0 || !cn.bodyWritten() || cn.SetDeadline(time.Time{}) != nil {
		_ = cn.Close()
		return
	}
	cn.usableUntil = time.Now().Add(idleTimeout(r.Header.Get("Keep-Alive")))
	r.client.putIdle(cn)
}

// awaitWritten waits until the request is written, and returns the error of writing it, or
// os.ErrDeadlineExceeded at the deadline; the zero time means none.
func (cn *conn) awaitWritten(deadline time.Time) error {
	if cn.written == nil {
		return nil
	}
	var expired <-chan time.Time
	if !deadline.IsZero() {
		timer := time.NewTimer(time.Until(deadline))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-cn.written:
		return cn.writeErr
	case <-expired:
		return os.ErrDeadlineExceeded
	}
}

// bodyWritten reports whether the whole request has been written. If the response
// came earlier, the connection is in the middle of a body and cannot be reused.
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

// idleTimeout returns how long an idle connection is kept after a response with
// the given Keep-Alive header value.
func idleTimeout(field string) time.Duration {
	for part := range strings.SplitSeq(field, ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return defaultIdleTimeout
}
