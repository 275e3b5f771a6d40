package tunnel

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"syscall"
	"time"

	"banyanyard/io/http1"
	"banyanyard/io/tcp"

	"github.com/pkg/errors"
)

const (
	// headBufferBytes holds the head of an answer or of a request.
	headBufferBytes = 1 << 10
	// maxReasonBytes is the largest reason of a refusal that is read.
	maxReasonBytes = 512
)

// A Client opens tunnels. The zero Client is ready to use. It is safe for concurrent use.
type Client struct {
	Dial tcp.DialFunc // to instances; nil means TCP

	extraWait time.Duration // beyond connectTimeout and answerTimeout, for tests in real time
}

// Open opens a connection to an upstream through the instance at an address. Errors are a
// RefusedError or an UpstreamError. Closing the connection resets it, so that the instance notices
// also while it waits for the upstream to read.
func (c *Client) Open(ctx context.Context, instance string, r Request) (net.Conn, error) {
	raw, err := c.connect(ctx, instance)
	if err != nil {
		return nil, &RefusedError{Instance: instance, Cause: err}
	}
	opened, err := c.handshake(ctx, raw, instance, &r)
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	return opened, nil
}

func (c *Client) connect(ctx context.Context, instance string) (net.Conn, error) {
	ctx, cancel := timeoutCause(ctx, connectTimeout+c.extraWait, "connect")
	defer cancel()
	return tcp.DialOrDefault(c.Dial)(ctx, "tcp", instance)
}

// handshake asks the instance at the other end of raw for a tunnel.
func (c *Client) handshake(ctx context.Context, raw net.Conn, instance string, r *Request) (*conn, error) {
	ctx, cancel := timeoutCause(ctx, answerTimeout+c.extraWait, "wait for the answer")
	defer cancel()
	detach := context.AfterFunc(ctx, func() { _ = raw.Close() })
	opened := &conn{Conn: raw, reader: http1.NewResponseReader(raw, headBufferBytes)}
	status, reason, err := opened.ask(r)
	if !detach() {
		err = context.Cause(ctx)
	}
	switch {
	case err != nil:
		return nil, &RefusedError{Instance: instance, Cause: err}
	case status == http.StatusOK:
		return opened, nil
	case status == http.StatusBadGateway:
		return nil, &UpstreamError{Instance: instance, Upstream: r.Upstream, Cause: errors.Wrap(syscall.ECONNREFUSED, reason)}
	case status == http.StatusGatewayTimeout:
		return nil, &UpstreamError{Instance: instance, Upstream: r.Upstream, Cause: errors.Wrap(os.ErrDeadlineExceeded, reason)}
	default:
		return nil, &RefusedError{Instance: instance, ForUpstream: status == http.StatusForbidden, Cause: errors.Errorf("%d: %s", status, reason)}
	}
}

// A conn is the asking instance's end of a tunnel. It does not give access to its socket, whose
// state would be taken for that of the connection to the upstream.
type conn struct {
	net.Conn
	reader *http1.ResponseReader
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) { return c.reader.Read(p) }

// Close implements net.Conn.
func (c *conn) Close() error {
	tcp.Reset(c.Conn)
	return nil
}

// ask sends a request, and returns the status of the answer and the reason of a refusal.
func (c *conn) ask(r *Request) (status int, reason string, err error) {
	// The end of this process, too, is noticed while the instance waits for the upstream.
	_ = tcp.ResetOnClose(c.Conn, true)
	if err := tcp.SetUserTimeout(c.Conn, r.UserTimeout); err != nil {
		return 0, "", err
	}
	head := &http.Request{Method: http.MethodConnect, URL: &url.URL{Opaque: r.Address}, Host: r.Address, Header: r.header()}
	if err := head.Write(c.Conn); err != nil {
		return 0, "", err
	}
	answer, err := c.reader.ReadResponse(head)
	if err != nil {
		return 0, "", err
	}
	if answer.Header.Get(headerUpstream) != r.Upstream {
		return 0, "", errors.Errorf("the answer, with the status %d, does not repeat the upstream", answer.StatusCode)
	}
	if answer.StatusCode == http.StatusOK {
		if !http1.EndsWithConn(answer) {
			return 0, "", errors.New("the answer states a body, which a tunnel does not have")
		}
		return http.StatusOK, "", nil
	}
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxReasonBytes))
	return answer.StatusCode, strings.TrimSpace(string(text)), err
}
