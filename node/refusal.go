package node

import (
	"context"
	"errors"
	"time"

	"banyanyard/core/refusal"
	"banyanyard/io/caller"
	"banyanyard/io/engine"
)

// noteMayHaveRun sets mayHaveRun unless err shows that no engine ran the attempt.
func (r *completion) noteMayHaveRun(err error) {
	var unreachable *engine.UnreachableError
	var refused *engine.RefusedError
	var rejected *engine.RejectedError
	if errors.As(err, &unreachable) || errors.As(err, &refused) || errors.As(err, &rejected) {
		return
	}
	r.mayHaveRun = true
}

// asRefusal converts the error that ended a request to the refusal sent to the
// caller.
func (r *completion) asRefusal(err error) error {
	if err == nil {
		return nil
	}
	e := refusalOf(err)
	if r.mayHaveRun {
		e = e.WithMayHaveRun()
	}
	return e
}

func refusalOf(err error) *refusal.Error {
	var own *refusal.Error
	if errors.As(err, &own) {
		copied := *own
		return &copied
	}
	var rejected *engine.RejectedError
	if errors.As(err, &rejected) {
		return refusal.New(refusal.BadRequest, "correct the request", "the model engine rejected it: %s", rejected.Body)
	}
	var unreachable *engine.UnreachableError
	var refused *engine.RefusedError
	if errors.As(err, &unreachable) || errors.As(err, &refused) {
		return refusal.New(refusal.NoUpstream, "send the request again after the time in Retry-After", "no upstream accepted the request (%v)", err).WithRetryAfter(time.Second)
	}
	var slow *caller.SlowReaderError
	if errors.As(err, &slow) {
		return refusal.New(refusal.UpstreamFailed, "read the answer faster", "the answer was stopped because the caller read it too slowly")
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return refusal.New(refusal.DeadlineExceeded, "send the request again with a later deadline", "the answer was not complete before the deadline")
	}
	return refusal.New(refusal.UpstreamFailed, "send the request again", "the answer could not be completed (%v)", err)
}
