// Package refusal defines the typed errors that callers receive when a request
// is not answered.
//
// Invariant: an Error says NotRun only if the request can't have run at any
// upstream.
package refusal

import (
	"fmt"
	"net/http"
	"time"
)

// An Execution says whether the request may have run at an upstream.
type Execution string

// The values of Execution.
const (
	NotRun     Execution = "not-run"
	MayHaveRun Execution = "may-have-run"
)

// A Kind identifies the reason for a refusal. Callers match on it, so its values
// must not change.
type Kind string

// The kinds of refusal; statusCodes maps each to an HTTP status.
const (
	BadRequest            Kind = "bad-request"
	BodyTooLarge          Kind = "body-too-large"
	BodyIncomplete        Kind = "body-incomplete"
	UnknownKey            Kind = "unknown-key"
	ModelNotAllowed       Kind = "model-not-allowed"
	VersionWithdrawn      Kind = "version-withdrawn"
	ContextTooLong        Kind = "context-too-long"
	SessionInvalid        Kind = "session-invalid"
	ServiceNotFound       Kind = "service-not-found"
	IdempotencyKeyMissing Kind = "idempotency-key-missing"
	IdempotencyKeyReused  Kind = "idempotency-key-reused"
	CallInProgress        Kind = "call-in-progress"
	OutcomeUnknown        Kind = "outcome-unknown"
	CallNotFound          Kind = "call-not-found"
	NoUpstream            Kind = "no-upstream"
	Overloaded            Kind = "overloaded"
	DeadlineExceeded      Kind = "deadline-exceeded"
	UpstreamFailed        Kind = "upstream-failed"
	StoreUnavailable      Kind = "store-unavailable"
	ChargesPending        Kind = "charges-pending"
	NotReady              Kind = "not-ready"
	RequestSuspect        Kind = "request-suspect"
	CrashesUpstreams      Kind = "crashes-upstreams"
)

var statusCodes = map[Kind]int{
	BadRequest:            http.StatusBadRequest,
	BodyTooLarge:          http.StatusRequestEntityTooLarge,
	BodyIncomplete:        http.StatusBadRequest,
	UnknownKey:            http.StatusUnauthorized,
	ModelNotAllowed:       http.StatusForbidden,
	VersionWithdrawn:      http.StatusGone,
	ContextTooLong:        http.StatusBadRequest,
	SessionInvalid:        http.StatusBadRequest,
	ServiceNotFound:       http.StatusNotFound,
	IdempotencyKeyMissing: http.StatusBadRequest,
	IdempotencyKeyReused:  http.StatusUnprocessableEntity,
	CallInProgress:        http.StatusConflict,
	OutcomeUnknown:        http.StatusConflict,
	CallNotFound:          http.StatusNotFound,
	NoUpstream:            http.StatusServiceUnavailable,
	Overloaded:            http.StatusTooManyRequests,
	DeadlineExceeded:      http.StatusGatewayTimeout,
	UpstreamFailed:        http.StatusBadGateway,
	StoreUnavailable:      http.StatusServiceUnavailable,
	ChargesPending:        http.StatusServiceUnavailable,
	NotReady:              http.StatusServiceUnavailable,
	RequestSuspect:        http.StatusUnprocessableEntity,
	CrashesUpstreams:      http.StatusServiceUnavailable,
}

// An Error reports why one request was refused and what the caller can do.
type Error struct {
	Kind        Kind
	Detail      string
	Remedy      string
	Execution   Execution     // empty means NotRun
	RetryAfter  time.Duration // wait before a retry; 0 if waiting doesn't help
	OutcomePath string        // URL path that reports the call's outcome, or empty
}

// New returns a refusal of a request that has not run. The format and its
// arguments make up the detail.
func New(kind Kind, remedy, format string, args ...any) *Error {
	return &Error{Kind: kind, Detail: fmt.Sprintf(format, args...), Remedy: remedy, Execution: NotRun}
}

// Error returns the detail and the remedy.
func (e *Error) Error() string { return e.Detail + ": " + e.Remedy }

// Status returns the HTTP status code of the refusal, 500 for an unknown kind.
func (e *Error) Status() int {
	if status, ok := statusCodes[e.Kind]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// WithRetryAfter sets how long the caller should wait before a retry. It changes
// and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// WithMayHaveRun records that the request may have run. It changes and returns e.
func (e *Error) WithMayHaveRun() *Error {
	e.Execution = MayHaveRun
	return e
}
