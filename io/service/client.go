// Package service speaks to the plain services beside the model engines, over
// HTTP.
//
// Calls that may not be repeated use connections that have not been idle for
// long, and are never sent a second time by the transport.
//
// Invariant: a NotRunError is returned only where the service did not run the
// call.
package service

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"banyanyard/core/idempotency"
	"banyanyard/io/tcp"
)

// The bounds of connections and answers.
const (
	idleTimeout     = 30 * time.Second
	freshIdle       = 2 * time.Second // for calls that may not be repeated
	maxIdlePerHost  = 32
	maxAnswerBytes  = 8 << 20
	keyHeader       = "idempotency-key" // see newRequest
	requestIDHeader = "X-Request-Id"
	timeoutHeader   = "Banyanyard-Timeout-Ms" // what is left of the caller's deadline
)

// keptHeaders are the headers of an answer that callers get.
var keptHeaders = []string{"Content-Type", "Etag", "Last-Modified", "Location", "Cache-Control", "Retry-After"}

// A Call is one attempt at one service instance.
type Call struct {
	Attempt        string
	Upstream       string
	Address        string // IP:port
	Method         string
	Path           string
	Query          string
	Header         http.Header
	Body           []byte
	Idempotent     bool
	IdempotencyKey string // passed on when not empty
	// RefusesBeforeRunning says that the statuses 429 and 503 mean that the
	// service has not run the call. Otherwise they are answers like others.
	RefusesBeforeRunning bool
}

// A NotRunError reports that the service did not run the call.
type NotRunError struct {
	Upstream    string
	Unreachable bool // no connection; otherwise the service refused
	Cause       error
}

func (e *NotRunError) Error() string {
	return fmt.Sprintf("upstream %s did not run the call (%v): another upstream will be tried", e.Upstream, e.Cause)
}

// Unwrap returns the cause.
func (e *NotRunError) Unwrap() error { return e.Cause }

// A BrokenError reports a call that may have run.
type BrokenError struct {
	Upstream string
	Cause    error
}

func (e *BrokenError) Error() string {
	return fmt.Sprintf("the answer of upstream %s broke off (%v): look the outcome up before sending the call again", e.Upstream, e.Cause)
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }

// A Client calls plain services.
type Client struct {
	pooled *http.Transport
	fresh  *http.Transport
}

// New returns a client. A nil dial means TCP.
func New(dial tcp.DialFunc) *Client {
	dial = tcp.DialOrDefault(dial)
	return &Client{pooled: newTransport(dial, idleTimeout), fresh: newTransport(dial, freshIdle)}
}

func newTransport(dial tcp.DialFunc, idle time.Duration) *http.Transport {
	return &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idle,
		DisableCompression:  true,
	}
}

// Do makes a call and returns the whole answer.
func (c *Client) Do(ctx context.Context, call Call) (idempotency.Answer, error) {
	request, err := newRequest(ctx, call)
	if err != nil {
		return idempotency.Answer{}, err
	}
	transport := c.fresh
	if call.Idempotent {
		transport = c.pooled
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return idempotency.Answer{}, startError(call, err)
	}
	defer func() { _ = response.Body.Close() }()
	return read(call, response)
}

func newRequest(ctx context.Context, call Call) (*http.Request, error) {
	url := "http://" + call.Address + call.Path
	if call.Query != "" {
		url += "?" + call.Query
	}
	request, err := http.NewRequestWithContext(ctx, call.Method, url, bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil
	for name, values := range call.Header {
		request.Header[name] = values
	}
	request.Header.Set(requestIDHeader, call.Attempt)
	if deadline, ok := ctx.Deadline(); ok {
		request.Header.Set(timeoutHeader, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	if call.IdempotencyKey != "" {
		// The transport repeats any request that has this header in its
		// canonical form after a connection broke. Header names are compared
		// without case on the wire, so the service still reads it.
		request.Header[keyHeader] = []string{call.IdempotencyKey}
	}
	return request, nil
}

func startError(call Call, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &NotRunError{Upstream: call.Upstream, Unreachable: true, Cause: err}
	}
	return &BrokenError{Upstream: call.Upstream, Cause: err}
}

func read(call Call, response *http.Response) (idempotency.Answer, error) {
	refused := response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests
	if refused && call.RefusesBeforeRunning {
		return idempotency.Answer{}, &NotRunError{Upstream: call.Upstream, Cause: errors.New(response.Status)}
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return idempotency.Answer{}, &BrokenError{Upstream: call.Upstream, Cause: err}
	}
	if len(body) > maxAnswerBytes {
		return idempotency.Answer{}, &BrokenError{Upstream: call.Upstream, Cause: errors.New("the answer is too large")}
	}
	header := http.Header{}
	for _, name := range keptHeaders {
		if values := response.Header.Values(name); len(values) > 0 {
			header[name] = values
		}
	}
	return idempotency.Answer{Status: response.StatusCode, Header: header, Body: body}, nil
}

// Close closes all idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}
