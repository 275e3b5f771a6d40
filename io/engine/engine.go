// Package engine is a client of model engines: chat completions over HTTP, with
// server-sent events for streaming.
//
// Each attempt has an identifier, sent as X-Request-Id. Engines repeat it in the
// id of the completion and of every chunk ("chatcmpl-" and the identifier). Data
// with another id belongs to another attempt: it is not delivered, and the
// attempt ends with a WrongAttemptError.
//
// An engine that sends event ids can resume a cancelled or broken stream: the
// same attempt is sent again with Last-Event-ID, and the stream continues after
// that event.
//
// Invariant: a RefusedError is returned only if the engine did not run the
// request.
package engine

import (
	"fmt"
	"time"

	"banyanyard/core/rules"
)

// IDPrefix precedes the attempt's identifier in the id of a completion.
const IDPrefix = "chatcmpl-"

// An Attempt is one request to one engine. A zero timeout means none.
type Attempt struct {
	ID       string // unique; at least 16 characters
	Upstream string // identifier of the upstream
	Address  string // IP:port
	Target   rules.Target
	Body     []byte // chat completion request, sent unchanged
	Stream   bool
	// LastEventID resumes a stream after the event with this id. If empty, the
	// attempt starts a new response.
	LastEventID string
	// FirstByteTimeout bounds writing the request and waiting for the response
	// header, or for all of a non-streaming response. ChunkTimeout bounds the
	// wait for each chunk.
	FirstByteTimeout time.Duration
	ChunkTimeout     time.Duration
	// NewConn makes the attempt use a new connection instead of an idle one, so
	// that a BrokenError of the attempt is never Stale.
	NewConn bool
	// Timeout is the time left until the caller's deadline, sent to the engine in
	// HeaderTimeout. Zero omits the header.
	Timeout time.Duration
}

// HeaderTimeout is the request header with the milliseconds left until the
// caller's deadline.
const HeaderTimeout = "Banyanyard-Timeout-Ms"

// A Usage is the token usage of a completion.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// An UnreachableError reports that no connection could be opened, so the request
// did not run.
type UnreachableError struct {
	Upstream string
	Cause    error
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("upstream %s cannot be reached (%v): another upstream will be tried", e.Upstream, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// A RefusedError reports that the engine refused the request without running it.
type RefusedError struct {
	Upstream string
	Status   int
	Body     []byte
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("upstream %s refused the request with status %d: another upstream will be tried", e.Upstream, e.Status)
}

// A RejectedError reports that the engine found the request invalid, so no other
// engine would run it either.
type RejectedError struct {
	Upstream string
	Status   int
	Body     []byte
}

func (e *RejectedError) Error() string {
	return fmt.Sprintf("upstream %s rejected the request with status %d: correct the request", e.Upstream, e.Status)
}

// A BrokenError reports that the response is missing, incomplete or a server
// error, so the request may have run.
type BrokenError struct {
	Upstream string
	Cause    error
	// Status is the HTTP status of an error response, which shows that the engine
	// itself is running; 0 if the connection broke.
	Status int
	// Stale reports that a reused connection broke before the response began,
	// which usually means that the engine had closed it while idle.
	Stale bool
}

func (e *BrokenError) Error() string {
	return fmt.Sprintf("request to upstream %s failed (%v): send the request again", e.Upstream, e.Cause)
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }

// A TimeoutError reports that no data arrived from the upstream in time.
type TimeoutError struct {
	Upstream string
	After    time.Duration
}

func (e *TimeoutError) Error() string {
	return fmt.Sprintf("upstream %s sent no data for %v: its idle connections are closed", e.Upstream, e.After)
}

// A WrongAttemptError reports a response or chunk of another attempt.
type WrongAttemptError struct {
	Upstream string
	Want     string
}

func (e *WrongAttemptError) Error() string {
	return fmt.Sprintf("upstream %s sent data that does not belong to attempt %s: the attempt ends", e.Upstream, e.Want)
}
