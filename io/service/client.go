// Package service is an HTTP client of the services other than model engines.
//
// Calls that are not idempotent use only connections that have been idle for a
// short time, and are never retried by the transport.
//
// Invariant: a NotRunError is returned only if the service did not run the call.
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

// Bounds of connections and responses, and names of request headers.
const (
	idleTimeout      = 30 * time.Second
	shortIdleTimeout = 2 * time.Second // for calls that are not idempotent
	maxIdlePerHost   = 32
	maxResponseBytes = 8 << 20
	keyHeader        = "idempotency-key" // see newRequest
	requestIDHeader  = "X-Request-Id"
	timeoutHeader    = "Banyanyard-Timeout-Ms" // milliseconds left until the caller's deadline
)

// forwardedHeaders are the response headers that are passed on to callers.
var forwardedHeaders = []string{"Content-Type", "Etag", "Last-Modified", "Location", "Cache-Control", "Retry-After"}

// A Call is one attempt of a call, sent to one service instance.
type Call struct {
	AttemptID      string // sent as X-Request-Id
	Upstream       string
	Address        string // IP:port
	Method         string
	Path           string
	Query          string
	Header         http.Header
	Body           []byte
	Idempotent     bool
	IdempotencyKey string // passed on when not empty
	// RefusesBeforeRunning reports that the service returns the statuses 429 and
	// 503 only without running the call. If false, they are responses like others.
	RefusesBeforeRunning bool
}

// A NotRunError reports that the service did not run the call.
type NotRunError struct {
	Upstream    string
	Unreachable bool // no connection could be opened; if false, the service refused the call
	Cause       error
}

func (e *NotRunError) Error() string {
	return fmt.Sprintf("upstream %s did not run the call (%v): another upstream will be tried", e.Upstream, e.Cause)
}

// Unwrap returns the cause.
func (e *NotRunError) Unwrap() error { return e.Cause }

// An OutcomeUnknownError reports a call without a usable response, which may have
// run.
type OutcomeUnknownError struct {
	Upstream string
	Cause    error
}

func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("response of upstream %s is missing or incomplete (%v): check the outcome before sending the call again", e.Upstream, e.Cause)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// A Client calls services. It is safe for concurrent use.
type Client struct {
	pooled    *http.Transport // for idempotent calls
	shortIdle *http.Transport // for calls that are not idempotent
}

// New returns a client. A nil dial means TCP.
func New(dial tcp.DialFunc) *Client {
	dial = tcp.DialOrDefault(dial)
	return &Client{pooled: newTransport(dial, idleTimeout), shortIdle: newTransport(dial, shortIdleTimeout)}
}

func newTransport(dial tcp.DialFunc, idle time.Duration) *http.Transport {
	return &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idle,
		DisableCompression:  true,
	}
}

// Do sends a call and returns the complete response. Errors other than those of an
// invalid call are a NotRunError or an OutcomeUnknownError.
func (c *Client) Do(ctx context.Context, call Call) (idempotency.Answer, error) {
	request, err := newRequest(ctx, call)
	if err != nil {
		return idempotency.Answer{}, err
	}
	transport := c.shortIdle
	if call.Idempotent {
		transport = c.pooled
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return idempotency.Answer{}, roundTripError(call, err)
	}
	defer func() { _ = response.Body.Close() }()
	return readResponse(call, response)
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
	request.Header.Set(requestIDHeader, call.AttemptID)
	if deadline, ok := ctx.Deadline(); ok {
		request.Header.Set(timeoutHeader, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	if call.IdempotencyKey != "" {
		// After a broken connection, http.Transport retries any request with
		// this header under its canonical name. Header names are not
		// case-sensitive on the wire, so the service still reads it.
		request.Header[keyHeader] = []string{call.IdempotencyKey}
	}
	return request, nil
}

// roundTripError returns a NotRunError if no connection could be opened, and
// otherwise an OutcomeUnknownError.
func roundTripError(call Call, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &NotRunError{Upstream: call.Upstream, Unreachable: true, Cause: err}
	}
	return &OutcomeUnknownError{Upstream: call.Upstream, Cause: err}
}

func readResponse(call Call, response *http.Response) (idempotency.Answer, error) {
	refused := response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests
	if refused && call.RefusesBeforeRunning {
		return idempotency.Answer{}, &NotRunError{Upstream: call.Upstream, Cause: errors.New(response.Status)}
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return idempotency.Answer{}, &OutcomeUnknownError{Upstream: call.Upstream, Cause: err}
	}
	if len(body) > maxResponseBytes {
		return idempotency.Answer{}, &OutcomeUnknownError{Upstream: call.Upstream, Cause: errors.New("response exceeds 8 MiB")}
	}
	header := http.Header{}
	for _, name := range forwardedHeaders {
		if values := response.Header.Values(name); len(values) > 0 {
			header[name] = values
		}
	}
	return idempotency.Answer{Status: response.StatusCode, Header: header, Body: body}, nil
}

// Close closes all idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.shortIdle.CloseIdleConnections()
}
