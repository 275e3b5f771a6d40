// Package service is an HTTP client of the services other than model engines.
//
// A connection is reused only by idempotent calls, and only if the service
// repeats the ID of each call in its responses; otherwise a late second copy of a
// response could be taken for that to the next call. No call is repeated.
//
// Invariants:
//   - a NotRunError is returned only if the service did not run the call;
//   - a response with the ID of another call is never returned.
package service

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"banyanyard/core/idempotency"
	"banyanyard/io/http1"
	"banyanyard/io/tcp"
)

// Bounds of responses, and names of request headers.
const (
	maxResponseBytes = 8 << 20
	keyHeader        = "Idempotency-Key"
	requestIDHeader  = "X-Request-Id"          // of requests and responses
	timeoutHeader    = "Banyanyard-Timeout-Ms" // milliseconds left until the caller's deadline
)

// onlyAttemptSilence is how long the service may acknowledge or read nothing of a call that
// cannot be sent again. A sound one may pause.
const onlyAttemptSilence = 5 * time.Second

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
type Client struct{ client http1.Client }

// New returns a client. A nil dial means TCP.
func New(dial tcp.DialFunc) *Client { return &Client{client: http1.Client{Dial: dial}} }

// Do sends a call and returns the complete response. Errors other than those of an
// invalid call are a NotRunError or an OutcomeUnknownError.
func (c *Client) Do(ctx context.Context, call Call) (idempotency.Answer, error) {
	request, err := newRequest(ctx, call)
	if err != nil {
		return idempotency.Answer{}, err
	}
	response, err := c.client.Do(ctx, call.Address, request)
	if err != nil {
		c.client.CloseIdle(call.Address)
		return idempotency.Answer{}, doError(call, err)
	}
	defer response.Close()
	return readResponse(call, response)
}

func newRequest(ctx context.Context, call Call) (*http1.Request, error) {
	target, err := url.Parse("http://" + call.Address + call.Path)
	if err != nil {
		return nil, err
	}
	target.RawQuery = call.Query
	r := &http1.Request{
		Method: call.Method, Target: target.RequestURI(), Host: call.Address, Body: call.Body,
		NewConn:  !call.Idempotent,
		EchoName: requestIDHeader, EchoValue: call.AttemptID, EchoOptional: true,
	}
	for name, values := range call.Header {
		for _, v := range values {
			r.Header = append(r.Header, http1.Field{Name: name, Value: v})
		}
	}
	r.Header = append(r.Header, http1.Field{Name: requestIDHeader, Value: call.AttemptID})
	if !call.Idempotent {
		r.UserTimeout = onlyAttemptSilence
	}
	if deadline, ok := ctx.Deadline(); ok {
		r.Header = append(r.Header, http1.Field{Name: timeoutHeader, Value: strconv.FormatInt(time.Until(deadline).Milliseconds(), 10)})
	}
	if call.IdempotencyKey != "" {
		r.Header = append(r.Header, http1.Field{Name: keyHeader, Value: call.IdempotencyKey})
	}
	return r, nil
}

// doError returns a NotRunError if no connection could be opened, and otherwise
// an OutcomeUnknownError.
func doError(call Call, err error) error {
	var unreachable *http1.UnreachableError
	if errors.As(err, &unreachable) {
		return &NotRunError{Upstream: call.Upstream, Unreachable: true, Cause: err}
	}
	return &OutcomeUnknownError{Upstream: call.Upstream, Cause: err}
}

func readResponse(call Call, response *http1.Response) (idempotency.Answer, error) {
	refused := response.Status == http.StatusServiceUnavailable || response.Status == http.StatusTooManyRequests
	if refused && call.RefusesBeforeRunning {
		return idempotency.Answer{}, &NotRunError{Upstream: call.Upstream, Cause: fmt.Errorf("status %d", response.Status)}
	}
	body, err := io.ReadAll(io.LimitReader(response, maxResponseBytes+1))
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
	return idempotency.Answer{Status: response.Status, Header: header, Body: body}, nil
}

// Close closes all idle connections.
func (c *Client) Close() { c.client.Close() }
