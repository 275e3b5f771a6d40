package engine

import (
	"bufio"
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

	"banyanyard/io/tcp"
)

// The bounds of connections to engines.
const (
	idleTimeout         = 20 * time.Second
	maxIdlePerUpstream  = 64
	maxRefusalBodyBytes = 16 << 10
	completionsPath     = "/v1/chat/completions"
)

// A Client calls engines. It writes and reads HTTP on connections of its own,
// rather than through http.Transport, to know whether a byte of a request was
// written, and so that nothing is sent a second time behind the router's back.
// The zero Client is ready to use.
type Client struct {
	// Dial opens a connection; nil means TCP.
	Dial tcp.DialFunc

	mu   sync.Mutex
	idle map[string][]*conn // guarded by mu; by upstream, oldest first
}

// Start sends an attempt and returns its answer once the engine has accepted
// it. The caller must Close the answer.
func (c *Client) Start(ctx context.Context, a Attempt) (*Answer, error) {
	cn, err := c.get(ctx, a)
	if err != nil {
		return nil, &UnreachableError{Upstream: a.Upstream, Cause: err}
	}
	// The end of the context closes the connection, by which the engine learns
	// that the answer is no longer wanted.
	cn.stop = context.AfterFunc(ctx, func() { _ = cn.Close() })
	response, err := cn.send(a)
	if err != nil {
		cn.discard()
		return nil, c.startError(ctx, cn, a, err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, c.statusError(ctx, cn, a, response)
	}
	return newAnswer(ctx, c, cn, a, response), nil
}

// startError tells what a failure before the answer means.
func (c *Client) startError(ctx context.Context, cn *conn, a Attempt, err error) error {
	switch {
	case ctx.Err() != nil:
		return &BrokenError{Upstream: a.Upstream, Cause: ctx.Err()}
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.Replace(a.Upstream)
		return &SilentError{Upstream: a.Upstream, After: a.FirstByte}
	}
	return &BrokenError{Upstream: a.Upstream, Cause: err, Stale: cn.reused}
}

// statusError tells a refusal before the run from a rejection of the request
// itself. Other statuses say nothing about whether it ran.
func (c *Client) statusError(ctx context.Context, cn *conn, a Attempt, response *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxRefusalBodyBytes))
	c.put(ctx, a.Upstream, cn, err == nil && !response.Close)
	switch status := response.StatusCode; {
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return &RefusedError{Upstream: a.Upstream, Status: status, Body: body}
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError:
		return &RejectedError{Upstream: a.Upstream, Status: status, Body: body}
	default:
		return &BrokenError{Upstream: a.Upstream, Cause: errors.New(response.Status), Status: status}
	}
}

// Replace closes the idle connections of an upstream. Running answers keep
// theirs.
func (c *Client) Replace(upstream string) {
	c.mu.Lock()
	idle := c.idle[upstream]
	delete(c.idle, upstream)
	c.mu.Unlock()
	for _, cn := range idle {
		_ = cn.Close()
	}
}

// get returns an idle connection, or a new one.
func (c *Client) get(ctx context.Context, a Attempt) (*conn, error) {
	if cn := c.takeIdle(a.Upstream, a.Address); cn != nil {
		return cn, nil
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	raw, err := tcp.DialOrDefault(c.Dial)(ctx, "tcp", a.Address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, address: a.Address, reader: bufio.NewReaderSize(raw, readBufferBytes)}, nil
}

// takeIdle returns the connection that was used last, and closes those that
// have been idle for long or lead elsewhere.
func (c *Client) takeIdle(upstream, address string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := c.idle[upstream]
	for len(idle) > 0 {
		last := len(idle) - 1
		cn := idle[last]
		idle = idle[:last]
		c.idle[upstream] = idle
		if time.Since(cn.idleSince) < idleTimeout && cn.address == address {
			cn.reused = true
			return cn
		}
		_ = cn.Close()
	}
	return nil
}

// put keeps a connection for the next attempt when its answer was read to the
// end.
func (c *Client) put(ctx context.Context, upstream string, cn *conn, whole bool) {
	if !cn.stop() || !whole || ctx.Err() != nil || cn.reader.Buffered() > 0 || cn.SetReadDeadline(time.Time{}) != nil {
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

// Close closes all idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	upstreams := make([]string, 0, len(c.idle))
	for id := range c.idle {
		upstreams = append(upstreams, id)
	}
	c.mu.Unlock()
	for _, id := range upstreams {
		c.Replace(id)
	}
}

// newRequest returns the HTTP request of an attempt.
func newRequest(a Attempt) *http.Request {
	header := http.Header{
		"Content-Type": {"application/json"},
		"X-Request-Id": {a.ID},
		"User-Agent":   {"banyanyard"},
	}
	if a.Timeout > 0 {
		header[HeaderTimeout] = []string{strconv.FormatInt(a.Timeout.Milliseconds(), 10)}
	}
	if a.After != "" {
		header.Set("Last-Event-ID", a.After)
	}
	return &http.Request{
		Method:        http.MethodPost,
		URL:           &url.URL{Scheme: "http", Host: a.Address, Path: completionsPath},
		Header:        header,
		Body:          io.NopCloser(bytes.NewReader(a.Body)),
		ContentLength: int64(len(a.Body)),
	}
}
