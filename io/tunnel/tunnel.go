// Package tunnel opens connections to upstreams through another instance, by HTTP/1.1 CONNECT.
//
// Invariants:
//   - a tunnel carries one request, whose size is stated;
//   - an error of Client.Open means that no byte of the request has been sent;
//   - the end of a tunnel is orderly only if the upstream has received the whole request and has
//     ended its connection by itself. All other ends are resets, that of the instance's process
//     included;
//   - the end of either connection ends the other one at once.
package tunnel

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// Names of header fields.
const (
	headerFrom        = "Banyanyard-From"
	headerUpstream    = "Banyanyard-Upstream" // is repeated in answers
	headerSize        = "Banyanyard-Size"
	headerTimeLeft    = "Banyanyard-Time-Left-Ms"
	headerUserTimeout = "Banyanyard-User-Timeout-Ms"
)

const (
	// connectTimeout bounds connecting to an instance.
	connectTimeout = 150 * time.Millisecond
	// dialTimeout bounds connecting to an upstream for another instance.
	dialTimeout = 250 * time.Millisecond
	// answerTimeout bounds the wait for the answer of an instance that has been connected to.
	answerTimeout = dialTimeout + 100*time.Millisecond
)

// A Request asks an instance for a connection to an upstream.
type Request struct {
	From        string        // member ID of the instance that asks
	Upstream    string        // ID
	Address     string        // IP:port of the upstream
	Size        int64         // bytes that will be sent to the upstream, all in all; at least 1
	TimeLeft    time.Duration // the tunnel ends after this; at least 1 ms
	UserTimeout time.Duration // as http1.Request.UserTimeout, for the connection to the upstream; 0 means the default of package tcp
}

func (r *Request) header() http.Header {
	return http.Header{
		"User-Agent":      nil, // none
		headerFrom:        {r.From},
		headerUpstream:    {r.Upstream},
		headerSize:        {strconv.FormatInt(r.Size, 10)},
		headerTimeLeft:    {strconv.FormatInt(r.TimeLeft.Milliseconds(), 10)},
		headerUserTimeout: {strconv.FormatInt(r.UserTimeout.Milliseconds(), 10)},
	}
}

// maxDurationMs is the largest duration that a head may state.
const maxDurationMs = int64(24 * time.Hour / time.Millisecond)

// parseRequest returns the request that a head makes.
func parseRequest(head *http.Request) (Request, error) {
	h := head.Header
	r := Request{From: h.Get(headerFrom), Upstream: h.Get(headerUpstream), Address: head.RequestURI}
	size, sizeErr := strconv.ParseInt(h.Get(headerSize), 10, 64)
	timeLeft, timeErr := strconv.ParseInt(h.Get(headerTimeLeft), 10, 64)
	userTimeout, userErr := strconv.ParseInt(h.Get(headerUserTimeout), 10, 64)
	r.Size = size
	r.TimeLeft = time.Duration(timeLeft) * time.Millisecond
	r.UserTimeout = time.Duration(userTimeout) * time.Millisecond
	switch {
	case head.Method != http.MethodConnect || head.ContentLength != 0:
		return r, errors.New("the request is not a CONNECT without a body")
	case r.From == "" || r.Upstream == "" || r.Address == "":
		return r, errors.New("the request does not name its instance and an upstream")
	case sizeErr != nil || size < 1:
		return r, errors.New("the request does not state its size")
	case timeErr != nil || timeLeft < 1 || timeLeft > maxDurationMs:
		return r, errors.New("the request does not state a valid time that is left")
	case userErr != nil || userTimeout < 0 || userTimeout > maxDurationMs:
		return r, errors.New("the request does not state a valid user timeout")
	}
	return r, nil
}

// A RefusedError reports that an instance could not be reached, did not answer in time, gave an
// invalid answer or refused a tunnel. It says nothing about the upstream.
type RefusedError struct {
	Instance string // address
	// ForUpstream is true if the instance refused to connect to this upstream. It may connect
	// to others.
	ForUpstream bool
	Cause       error
}

func (e *RefusedError) Error() string {
	return "instance " + e.Instance + " opened no tunnel (" + e.Cause.Error() + "): try another instance"
}

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error { return e.Cause }

// An UpstreamError reports that an instance could not connect to an upstream.
type UpstreamError struct {
	Instance string // address
	Upstream string // ID
	// Cause wraps syscall.ECONNREFUSED if the connection was refused or reset, and a
	// timeout otherwise.
	Cause error
}

func (e *UpstreamError) Error() string {
	return "instance " + e.Instance + " cannot connect to " + e.Upstream + " (" + e.Cause.Error() + "): try another upstream"
}

// Unwrap returns the cause.
func (e *UpstreamError) Unwrap() error { return e.Cause }

// timeoutCause returns a context that ends after d with an error that names the wait.
func timeoutCause(ctx context.Context, d time.Duration, wait string) (context.Context, context.CancelFunc) {
	return context.WithTimeoutCause(ctx, d, errors.Wrap(context.DeadlineExceeded, wait))
}
