// Package engine speaks to model engines: chat completions over HTTP, with
// server-sent events for streams.
//
// Each attempt has an identifier that is sent as X-Request-Id. Engines repeat
// it in the id of every piece ("chatcmpl-" and the identifier). A piece with
// another id belongs to another attempt; the stream then ends with a
// ForeignAnswerError and nothing of the piece is delivered.
//
// An engine that gives its events ids can resume a cancelled or broken stream:
// the same attempt is sent again with Last-Event-ID, and the answer goes on
// behind that event.
//
// Invariant: a RefusedError is returned only where the engine did not run the
// request.
package engine

import (
	"fmt"
	"time"

	"banyanyard/core/rules"
)

// IDPrefix stands before the attempt's identifier in the id of an answer.
const IDPrefix = "chatcmpl-"

// An Attempt is one request to one engine.
type Attempt struct {
	ID       string // unique; at least 16 characters
	Upstream string // identifier of the upstream
	Address  string // IP:port
	Target   rules.Target
	Body     []byte // chat completion request, as the engine gets it
	Stream   bool
	// After resumes a stream behind the event with this id. Empty starts it.
	After string
	// FirstByte bounds the time to the first byte of the answer, and Gap the
	// time between pieces. Zero means no bound.
	FirstByte time.Duration
	Gap       time.Duration
	// Timeout is what is left of the caller's deadline, which the engine is
	// told. Zero means none.
	Timeout time.Duration
}

// HeaderTimeout tells an upstream how many milliseconds are left.
const HeaderTimeout = "Banyanyard-Timeout-Ms"

// A Usage counts the tokens of an answer.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// An UnreachableError reports that no connection could be made, so that the
// request has not run.
type UnreachableError struct {
	Upstream string
	Cause    error
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("upstream %s cannot be reached (%v): another upstream will be tried", e.Upstream, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// A RefusedError reports that the engine refused the request before running
// it.
type RefusedError struct {
	Upstream string
	Status   int
	Body     []byte
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("upstream %s refused the request with status %d: another upstream will be tried", e.Upstream, e.Status)
}

// A RejectedError reports that the engine found the request itself wrong, so
// that no other engine would run it either.
type RejectedError struct {
	Upstream string
	Status   int
	Body     []byte
}

func (e *RejectedError) Error() string {
	return fmt.Sprintf("upstream %s rejected the request with status %d: correct the request", e.Upstream, e.Status)
}

// A BrokenError reports that the answer ended early, so that the request may
// have run.
type BrokenError struct {
	Upstream string
	Cause    error
	// Status is the HTTP status of an answer that reports a failure, so that the
	// engine itself still runs; 0 when the connection broke.
	Status int
	// Stale says that the connection had been used before and broke before the
	// answer began, which usually means that the engine had closed it.
	Stale bool
}

func (e *BrokenError) Error() string {
	return fmt.Sprintf("the answer of upstream %s broke off (%v): send the request again", e.Upstream, e.Cause)
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }

// A SilentError reports a connection on which nothing arrived in time.
type SilentError struct {
	Upstream string
	After    time.Duration
}

func (e *SilentError) Error() string {
	return fmt.Sprintf("upstream %s sent nothing for %v: its connections are replaced", e.Upstream, e.After)
}

// A ForeignAnswerError reports a piece that belongs to another attempt.
type ForeignAnswerError struct {
	Upstream string
	Want     string
}

func (e *ForeignAnswerError) Error() string {
	return fmt.Sprintf("upstream %s sent a piece that does not belong to attempt %s: the attempt ends", e.Upstream, e.Want)
}
