package engine

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"sync"
	"time"

	"banyanyard/io/http1"
	"banyanyard/io/tcp"
)

// Bounds of connections to engines.
const (
	idleTimeout        = 20 * time.Second
	maxIdlePerUpstream = 64
	maxErrorBodyBytes  = 16 << 10
	completionsPath    = "/v1/chat/completions"
)

// A Client sends attempts to engines. It reads and writes HTTP on its own
// connections rather than through http.Transport, so that it knows whether any
// byte of a request was written and no request is retried implicitly.
// The zero Client is ready to use. It is safe for concurrent use.
type Client struct {
	// Dial opens a connection; nil means TCP.
	Dial tcp.DialFunc

	mu   sync.Mutex
	idle map[string][]*conn // guarded by mu; by upstream, oldest first
}

// Start sends an attempt and returns the response once its header has arrived
// with status 200. The caller must close the response.
func (c *Client) Start(ctx context.Context, a Attempt) (*Response, error) {
	cn, err := c.getConn(ctx, a)
	if err != nil {
		return nil, &UnreachableError{Upstream: a.Upstream, Cause: err}
	}
	// When the context ends, closing the connection tells the engine that the
	// attempt is cancelled.
	cn.detachContext = context.AfterFunc(ctx, func() { _ = cn.Close() })
	response, err := cn.send(a)
	if err != nil {
		cn.discard()
		return nil, c.startError(ctx, cn, a, err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, c.statusError(ctx, cn, a, response)
	}
	return newResponse(ctx, c, cn, a, response), nil
}

// startError returns the error for a failure before the response header.
func (c *Client) startError(ctx context.Context, cn *conn, a Attempt, err error) error {
	switch {
	case ctx.Err() != nil:
		return &BrokenError{Upstream: a.Upstream, Cause: ctx.Err()}
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.CloseIdle(a.Upstream)
		return &TimeoutError{Upstream: a.Upstream, After: a.FirstByteTimeout}
	}
	return &BrokenError{Upstream: a.Upstream, Cause: err, Stale: cn.reused}
}

// statusError returns a RefusedError for 429 and 503, a RejectedError for other
// 4xx statuses, and otherwise a BrokenError, since the request may have run. A
// response that breaks off is no rejection.
func (c *Client) statusError(ctx context.Context, cn *conn, a Attempt, response *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBodyBytes))
	c.putIdle(ctx, a.Upstream, cn, err == nil && !response.Close)
	switch status := response.StatusCode; {
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return &RefusedError{Upstream: a.Upstream, Status: status, Body: body}
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError:
		if err != nil {
			return &BrokenError{Upstream: a.Upstream, Cause: err}
		}
		return &RejectedError{Upstream: a.Upstream, Status: status, Body: body}
	default:
		return &BrokenError{Upstream: a.Upstream, Cause: errors.New(response.Status), Status: status}
	}
}

// CloseIdle closes the idle connections of an upstream. Connections of attempts
// in progress stay open.
func (c *Client) CloseIdle(upstream string) {
	c.mu.Lock()
	idle := c.idle[upstream]
	delete(c.idle, upstream)
	c.mu.Unlock()
	for _, cn := range idle {
		_ = cn.Close()
	}
}

// getConn returns an idle connection, or opens a new one if there is none or the
// attempt asks for it.
func (c *Client) getConn(ctx context.Context, a Attempt) (*conn, error) {
	if !a.NewConn {
		if cn := c.takeIdle(a.Upstream, a.Address); cn != nil {
			return cn, nil
		}
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	raw, err := tcp.DialOrDefault(c.Dial)(ctx, "tcp", a.Address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, address: a.Address, reader: http1.NewResponseReader(raw, readBufferBytes)}, nil
}

// takeIdle removes and returns the most recently used idle connection, or nil.
// It closes connections that have been idle for idleTimeout, whose address is not
// the given one, that were closed or that have unread bytes.
func (c *Client) takeIdle(upstream, address string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := c.idle[upstream]
	for len(idle) > 0 {
		last := len(idle) - 1
		cn := idle[last]
		idle = idle[:last]
		c.idle[upstream] = idle
		if time.Since(cn.idleSince) < idleTimeout && cn.address == address && tcp.Reusable(cn.Conn) {
			cn.reused = true
			return cn
		}
		_ = cn.Close()
	}
	return nil
}

// putIdle keeps a connection for the next attempt if reusable is set, and closes
// it otherwise or when its context has ended or unread bytes are pending.
func (c *Client) putIdle(ctx context.Context, upstream string, cn *conn, reusable bool) {
	if !cn.detachContext() || !reusable || ctx.Err() != nil || cn.reader.Buffered() > 0 || cn.SetReadDeadline(time.Time{}) != nil {
		_ = cn.Close()
		return
	}
	cn.idleSince = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle == nil {
		c.idle = map[string][]*conn{}
	}
	if len(c.idle[upstream]) >= maxIdlePerUpstream {
		_ = cn.Close()
		return
	}
	c.idle[upstream] = append(c.idle[upstream], cn)
}

// Close closes the idle connections of all upstreams.
func (c *Client) Close() {
	c.mu.Lock()
	upstreams := make([]string, 0, len(c.idle))
	for id := range c.idle {
		upstreams = append(upstreams, id)
	}
	c.mu.Unlock()
	for _, id := range upstreams {
		c.CloseIdle(id)
	}
}

// newRequest returns the HTTP request for an attempt.
func newRequest(a Attempt) *http.Request {
	header := http.Header{
		"Content-Type": {"application/json"},
		"X-Request-Id": {a.ID},
		"User-Agent":   {"banyanyard"},
	}
	if a.Timeout > 0 {
		header[HeaderTimeout] = []string{strconv.FormatInt(a.Timeout.Milliseconds(), 10)}
	}
	if a.LastEventID != "" {
		header.Set("Last-Event-ID", a.LastEventID)
	}
	return &http.Request{
		Method:        http.MethodPost,
		URL:           &url.URL{Scheme: "http", Host: a.Address, Path: completionsPath},
		Header:        header,
		Body:          io.NopCloser(bytes.NewReader(a.Body)),
		ContentLength: int64(len(a.Body)),
	}
}
