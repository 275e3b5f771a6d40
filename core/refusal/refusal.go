// Package refusal holds the typed errors that callers see when a request is
// not answered.
//
// Invariant: an Error with Run equal to NotRun is only made where no byte of
// the request can have reached an upstream that ran it.
package refusal

import (
	"fmt"
	"net/http"
	"time"
)

// A Run says whether the request may have run at an upstream.
type Run string

// The values of Run.
const (
	NotRun     Run = "not-run"
	MayHaveRun Run = "may-have-run"
)

// A Kind is the stable name of a reason for refusal.
type Kind string

// The kinds of refusal.
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
)

var statuses = map[Kind]int{
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
}

// An Error is the refusal of one request.
type Error struct {
	Kind       Kind
	Detail     string
	Remedy     string
	Run        Run           // empty means NotRun
	RetryAfter time.Duration // 0 when waiting doesn't help
	Lookup     string        // path that tells the outcome; empty when there is none
}

// New returns a refusal of a request that has not run.
func New(kind Kind, remedy, format string, args ...any) *Error {
	return &Error{Kind: kind, Detail: fmt.Sprintf(format, args...), Remedy: remedy, Run: NotRun}
}

// Error returns the reason and the remedy.
func (e *Error) Error() string { return e.Detail + ": " + e.Remedy }

// Status returns the HTTP status code.
func (e *Error) Status() int {
	if status, ok := statuses[e.Kind]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// After sets the time that the caller should wait and returns e.
func (e *Error) After(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// Ran marks the request as one that may have run and returns e.
func (e *Error) Ran() *Error {
	e.Run = MayHaveRun
	return e
}
