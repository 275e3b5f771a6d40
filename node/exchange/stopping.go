package exchange

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"banyanyard/core/refusal"
)

const (
	// stopAnswerMargin is the time before the end of a planned stop at which requests
	// that have no answer yet get one, so that it arrives before the process is gone.
	stopAnswerMargin = 200 * time.Millisecond
	// unknownAnswerTime is the expected time of an answer on a route that has answered
	// nothing yet.
	unknownAnswerTime = 2 * time.Second
	// stopRetryAfter and stopRetryJitter are the minimum and the random part of the
	// Retry-After time of an instance that stops: others can take the request at once.
	stopRetryAfter  = 50 * time.Millisecond
	stopRetryJitter = 200 * time.Millisecond
)

// errStopping is the cause of contexts that end because the process stops.
var errStopping = errors.New("this instance stops")

// A stopping is the planned stop of the process. The zero value means that none has begun.
type stopping struct {
	end atomic.Pointer[time.Time] // of the process; nil until the stop begins
	ctx context.Context           // ends when requests without an answer must get one
	cut context.CancelCauseFunc
}

func newStopping() stopping {
	ctx, cut := context.WithCancelCause(context.Background())
	return stopping{ctx: ctx, cut: cut}
}

// StopAt begins a planned stop: the process ends at the given time. A request that is not
// expected to be answered by then is refused as not run, while that is true. One without
// an answer just before then gets one that says what is known of it.
func (r *Router) StopAt(end time.Time) {
	r.stopping.end.Store(&end)
	time.AfterFunc(time.Until(r.AnswerBy()), func() { r.stopping.cut(errStopping) })
}

// AnswerBy returns the time at which answers must have begun because the process stops,
// or the zero time if it does not.
func (r *Router) AnswerBy() time.Time {
	end := r.stopping.end.Load()
	if end == nil {
		return time.Time{}
	}
	return end.Add(-stopAnswerMargin)
}

// RefuseStopping returns the refusal of a request that has not run and that the process,
// which stops, cannot answer.
func RefuseStopping() *refusal.Error {
	return refusal.New(refusal.NotReady, "send the request again on another connection", "this instance stops before it could answer the request").
		WithRetryAfter(stopRetryAfter + time.Duration(rand.Int64N(int64(stopRetryJitter))))
}

// refuseLate returns a refusal if the process stops before the request is expected to be
// answered. A stream that has begun goes on for as long as it can.
func (e *execution) refuseLate() *refusal.Error {
	by := e.router.AnswerBy()
	if by.IsZero() || e.streamBegun.Load() || time.Until(by) > e.router.expectedAnswerTime(e.request.Route.Name) {
		return nil
	}
	return RefuseStopping()
}

// untilStop returns a context that also ends, unless the answer has begun by then, when the
// process stops.
func (e *execution) untilStop(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	unwatch := context.AfterFunc(e.router.stopping.ctx, func() {
		if !e.streamBegun.Load() {
			cancel(errStopping)
		}
	})
	return ctx, func() {
		unwatch()
		cancel(nil)
	}
}

// An answerTime estimates how long answers take, from their mean and mean deviation as in
// RFC 6298.
type answerTime struct {
	mean, deviation time.Duration
}

// The weights of a new answer in the estimate.
const (
	answerTimeWeight      = 1.0 / 8
	answerDeviationWeight = 1.0 / 4
	// answerDeviations is the number of mean deviations above the mean that an answer may
	// take.
	answerDeviations = 2
)

func (a *answerTime) record(took time.Duration) {
	if a.mean == 0 {
		a.mean, a.deviation = took, took/2
		return
	}
	difference := took - a.mean
	a.mean += time.Duration(answerTimeWeight * float64(difference))
	a.deviation += time.Duration(answerDeviationWeight * float64(max(difference, -difference)-a.deviation))
}

func (a *answerTime) expected() time.Duration { return a.mean + answerDeviations*a.deviation }

// recordAnswerTime records how long the answer to a request on a route took.
func (r *Router) recordAnswerTime(route string, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.answerTimes[route]
	if a == nil {
		a = &answerTime{}
		r.answerTimes[route] = a
	}
	a.record(took)
}

func (r *Router) expectedAnswerTime(route string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a := r.answerTimes[route]; a != nil {
		return a.expected()
	}
	return unknownAnswerTime
}
