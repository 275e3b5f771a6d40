package exchange

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"banyanyard/core/cascade"
	"banyanyard/core/placement"
	"banyanyard/core/refusal"
	"banyanyard/core/suspect"
	"banyanyard/io/http1"
)

const (
	// maxBodyBytes is the maximum size of an answer that is buffered whole before
	// it is forwarded.
	maxBodyBytes = 8 << 20
	// maxFailureBytes and failureBodyTime bound the body of an upstream's failure. One
	// that is larger or slower is not delivered; bytes of an upstream in trouble may have
	// no end.
	maxFailureBytes = 64 << 10
	failureBodyTime = time.Second
	// pickRetryInterval is the time between two tries to pick an upstream while all
	// are busy.
	pickRetryInterval = 20 * time.Millisecond
	// queueObjectiveFactor is the share of the latency objective for which a request
	// waits for an upstream with a free slot.
	queueObjectiveFactor = 0.5
	// headObjectiveFactor is the multiple of the latency objective after which an
	// attempt that may be repeated is given up if no answer has begun.
	headObjectiveFactor = 2.0
	// headLatencyFactor is the multiple of the average latency for the same purpose;
	// the longer of the two times applies.
	headLatencyFactor = 4
	// gapTargetFactor is the multiple of the gap target after which a silent stream is
	// continued at another upstream, if its kind allows that.
	gapTargetFactor = 2.0
	// lastSilenceTimeout is how long the upstream of an attempt that no other can follow may
	// acknowledge or read nothing. A sound upstream may pause; giving up on it
	// loses the request, so it takes a stronger sign that the upstream is gone.
	lastSilenceTimeout = 5 * time.Second
	// minRetryAfter and retryAfterJitter are the minimum and the random part of the
	// Retry-After time. It is random so that callers do not retry all at once.
	minRetryAfter    = 300 * time.Millisecond
	retryAfterJitter = 700 * time.Millisecond
	// minAttemptTime is the minimum time before the deadline for another attempt.
	minAttemptTime = 20 * time.Millisecond
)

// An execution is the state of a request while it is answered. It is used by one
// goroutine.
type execution struct {
	router       *Router
	request      *Request
	answerWriter AnswerWriter

	models        []string // that may answer, smallest first; empty if the caller names one
	modelIndex    int      // index in models of the one to ask
	attempts      int
	tried         []string         // IDs of upstreams that have had the request
	mayHaveRun    bool             // an attempt may have run
	streamBegun   atomic.Bool      // the caller has received the head of a stream
	lastEventID   string           // last event that the caller has received
	failure       *upstreamFailure // last failure that an upstream reported
	firstEventAt  time.Time
	versionChoice versionChoice
	probe         bool             // sent despite a verdict, to find out whether it still holds
	mayCrash      bool             // an upstream crashed when it was about to write the answer
	cachedTraits  suspect.Traits   // see traits
	reading       *demandAttempt   // of the attempt in progress
	usageCounted  bool             // see countUsage
	decision      cascade.Decision // the last one whether a larger model is asked
	confidence    int              // of the model that answered before decision
}

// An upstreamFailure is an upstream's answer with a status of 500 or above.
type upstreamFailure struct {
	head Head
	body []byte
}

// errDeadline is the cause of contexts that end at the caller's deadline.
var errDeadline = errors.New("the caller's deadline has passed")

// Run answers a request. If it returns an error that doesn't wrap ErrTruncated,
// nothing of an answer has been sent to the caller, or sending it failed.
func (r *Router) Run(ctx context.Context, q *Request, out AnswerWriter) error {
	e := &execution{router: r, request: q, answerWriter: out, lastEventID: q.LastEventID}
	if !q.CallerModel {
		e.models = q.Route.Models
	}
	ctx, cancel := context.WithDeadlineCause(ctx, q.Deadline, errDeadline)
	defer cancel()
	ctx, unwatch := e.untilStop(ctx)
	defer unwatch()
	r.recordRequest(q.Service)
	err := e.run(ctx)
	e.recordResult(err)
	return err
}

// ErrTruncated reports that the caller has received part of an answer that cannot
// be completed.
var ErrTruncated = errors.New("the answer was cut off after part of it had been sent")

func (e *execution) run(ctx context.Context) error {
	began := time.Now()
	for {
		slot, err := e.pickUpstream(ctx)
		if err != nil {
			return e.finalError(err)
		}
		result := e.attempt(ctx, slot)
		result.upstreamLost = e.router.release(e, slot, result)
		e.logAttempt(slot, result)
		if result.done {
			e.router.recordAnswerTime(e.request.Route.Name, time.Since(began))
			e.router.startLoadTest(e, slot, result)
			return nil
		}
		if err := e.prepareRetry(ctx, result); err != nil {
			return e.finalError(err)
		}
	}
}

// An attemptResult is the result of an attempt.
type attemptResult struct {
	done         bool // the caller has received the whole answer
	outcome      placement.Outcome
	notRun       bool // the request certainly did not run
	err          error
	escalate     bool // retry with a larger model
	upstreamLost bool // the upstream cannot be reached any more
	took         time.Duration
	firstEvent   time.Duration // until the first event or the answer; 0 if there was none
	eventGap     time.Duration // average between the first events; 0 if there were too few
	status       int
	limit        float64       // that the answer named, in requests a second; 0 if none
	writing      time.Duration // from the first event to the end of the attempt; 0 without an event
}

// pickUpstream picks an upstream. It waits for a limited time while all are busy.
func (e *execution) pickUpstream(ctx context.Context) (*placement.Slot, error) {
	waitUntil := time.Now().Add(time.Duration(queueObjectiveFactor * float64(e.request.Route.LatencyObjective)))
	for {
		if err := e.refuseSuspect(ctx); err != nil {
			return nil, err
		}
		if refused := e.refuseLate(); refused != nil {
			return nil, refused
		}
		slot, pickResult := e.router.pick(e.request, e.placementCriteria(), &e.versionChoice)
		if slot != nil {
			return slot, nil
		}
		if pickResult == placement.NoUpstream && len(e.tried) > 0 {
			// All upstreams have had the request: try any of them again.
			e.tried = nil
			continue
		}
		// Before all registrations have been read, an upstream may still appear.
		if pickResult == placement.NoUpstream && e.router.upstreamsKnown.Load() || time.Now().After(waitUntil) {
			return nil, e.noUpstreamError(pickResult)
		}
		if pickResult == placement.UpstreamsBusy {
			if refused := e.refuseBusy(pickResult, waitUntil); refused != nil {
				return nil, refused
			}
		}
		if err := sleep(ctx, pickRetryInterval); err != nil {
			return nil, err
		}
	}
}

// kind returns the key under which latencies and failures are compared: the route
// and, if the router chooses it, the model.
func (e *execution) kind() string {
	if len(e.models) == 0 {
		return e.request.Route.Name
	}
	return e.request.Route.Name + "/" + e.models[e.modelIndex]
}

func (e *execution) placementCriteria() placement.Criteria {
	q := e.request
	return placement.Criteria{
		Service:     q.Service,
		AffinityKey: q.Prompt.CacheKey(),
		PromptWork:  e.promptWork(),
		Exclude:     e.tried,
		Isolate:     e.probe || e.mayCrash || e.router.crashes.isSuspected(e),
	}
}

// promptWork returns the work of reading the prompt, in tokens of the largest
// model. The work per token of a model is taken to be proportional to its price.
func (e *execution) promptWork() float64 {
	tokens := float64(e.request.Prompt.Tokens)
	if len(e.models) == 0 {
		return tokens
	}
	costs := e.router.modelCosts(e.request.Service)
	largest := 0.0
	for _, cost := range costs {
		largest = max(largest, cost)
	}
	if largest == 0 {
		return tokens
	}
	return tokens * costs[e.models[e.modelIndex]] / largest
}

func (e *execution) noUpstreamError(r placement.PickResult) *refusal.Error {
	kind := refusal.NoUpstream
	return refusal.New(kind, "send the request again after the time in Retry-After", "no upstream of service %q is available (%s)", e.request.Service, r).WithRetryAfter(retryAfter())
}

func retryAfter() time.Duration {
	return minRetryAfter + time.Duration(rand.Int64N(int64(retryAfterJitter)))
}

// attempt sends the request to an upstream and relays the answer.
func (e *execution) attempt(ctx context.Context, slot *placement.Slot) attemptResult {
	start := time.Now()
	e.attempts++
	e.tried = append(e.tried, slot.Upstream.ID)
	a := &Attempt{
		Request:     e.request,
		Upstream:    slot.Upstream,
		LastEventID: e.lastEventID,
		TimeLeft:    time.Until(e.request.Deadline),
	}
	if len(e.models) > 0 {
		a.Model = e.models[e.modelIndex]
	}
	if e.mayFollow() {
		a.HeadTimeout = min(a.TimeLeft, e.router.headTimeout(e.request.Service, e.attemptKind(), e.request.Route.LatencyObjective))
	} else {
		a.SilenceTimeout = lastSilenceTimeout
	}
	reading := e.router.demands.begin(e.request.Service)
	defer reading.end()
	e.reading = reading
	e.router.takeTurn(e)
	ctx = e.router.crashes.begin(ctx, e, &slot.Upstream)
	defer e.router.crashes.end(e)
	answer, err := e.router.Transport.Send(ctx, a)
	if err != nil {
		return e.classifySendError(ctx, err, start)
	}
	defer answer.Close()
	e.router.recordLimit(slot, answer.Head(), start)
	e.router.recordBrittle(slot, answer.Head())
	e.router.recordAdmission(slot, answer.Head())
	headLatency := time.Since(start)
	result := e.receive(ctx, answer, slot)
	result.took = time.Since(start)
	result.status = answer.Head().Status
	result.limit = answer.Head().Limit
	if result.outcome == placement.Completed {
		result.firstEvent = headLatency
	}
	return result
}

// mayFollow reports whether another attempt may follow the one in progress, so that giving up
// on its upstream for a pause gains anything.
func (e *execution) mayFollow() bool {
	route := e.request.Route
	return route.Kind.Repeatable() && e.attempts < route.MaxAttempts && e.router.mayRetry(e.request.Service)
}

// gapTimeout returns how long a stream may be silent before it is continued at another
// upstream; 0 if it cannot be.
func (e *execution) gapTimeout() time.Duration {
	if !e.mayFollow() {
		return 0
	}
	return time.Duration(gapTargetFactor * float64(e.request.Route.GapTarget))
}

// classifySendError returns the result of an attempt that got no answer.
func (e *execution) classifySendError(ctx context.Context, err error, start time.Time) attemptResult {
	result := attemptResult{outcome: placement.Broken, err: err, took: time.Since(start)}
	var unreachable *http1.UnreachableError
	switch {
	case ctx.Err() != nil:
		result.outcome = placement.Canceled
		result.notRun = errors.As(err, &unreachable)
	case errors.As(err, &unreachable):
		result.outcome = placement.Unreachable
		result.notRun = true
		if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) {
			result.outcome = placement.Closed
		}
	case errors.Is(err, syscall.ETIMEDOUT):
		result.outcome = placement.Silent
	}
	return result
}

// receive handles an answer whose head has arrived.
func (e *execution) receive(ctx context.Context, answer Answer, slot *placement.Slot) attemptResult {
	head := answer.Head()
	switch {
	case head.Misdirected:
		return attemptResult{outcome: placement.Misdirected, notRun: true, err: errors.New("the address now belongs to another upstream")}
	case head.NotRun:
		return attemptResult{outcome: placement.Refused, notRun: true, err: errors.New("the upstream refused the request without running it")}
	case head.Status >= http.StatusInternalServerError:
		return e.recordUpstreamFailure(ctx, answer)
	case e.streamBegun.Load() && (head.Status != http.StatusOK || head.NotStream):
		// The caller's stream must neither continue with another answer nor end with it.
		return attemptResult{outcome: placement.Completed, err: fmt.Errorf("the upstream answered %d instead of going on with the stream", head.Status)}
	case head.Status < http.StatusMultipleChoices && e.request.Route.Kind.Streaming():
		return e.relayStream(ctx, answer, slot)
	}
	e.countUsage()
	body, err := answer.ReadBody(maxBodyBytes, 0)
	if err != nil {
		return e.classifyReadError(ctx, err)
	}
	e.firstEventAt = time.Now()
	return attemptResult{done: true, outcome: placement.Completed, err: e.answerWriter.WriteAnswer(head, body)}
}

// recordUpstreamFailure stores an upstream's failure, which is forwarded to the
// caller if no other attempt is answered.
func (e *execution) recordUpstreamFailure(ctx context.Context, answer Answer) attemptResult {
	body, err := answer.ReadBody(maxFailureBytes, failureBodyTime)
	if err != nil {
		return e.classifyReadError(ctx, err)
	}
	e.failure = &upstreamFailure{head: answer.Head(), body: body}
	return attemptResult{outcome: placement.Failed, err: errors.New("the upstream reported a failure")}
}

func (e *execution) classifyReadError(ctx context.Context, err error) attemptResult {
	switch {
	case ctx.Err() != nil:
		return attemptResult{outcome: placement.Canceled, err: err}
	case errors.Is(err, syscall.ETIMEDOUT):
		return attemptResult{outcome: placement.Silent, err: err}
	}
	return attemptResult{outcome: placement.Broken, err: err}
}

// relayStream relays events until the stream ends, unless a larger model is to
// answer instead.
func (e *execution) relayStream(ctx context.Context, answer Answer, slot *placement.Slot) attemptResult {
	e.recordStep(answer.Head())
	if e.shouldEscalate(answer.Head()) {
		return attemptResult{outcome: placement.Completed, escalate: true, err: errors.New("escalated to a larger model")}
	}
	meter := newSpanMeter(e, slot)
	for {
		event, err := answer.NextEvent(e.gapTimeout())
		if errors.Is(err, io.EOF) {
			meter.end(false)
			result := e.endStream(answer.Head())
			result.eventGap = meter.firstGap
			return result
		}
		if err != nil {
			meter.end(true)
			result := e.classifyReadError(ctx, err)
			result.writing = meter.writing()
			return result
		}
		meter.add(time.Now())
		if meter.events == 1 {
			e.countUsage()
			e.router.crashes.markWriting(e)
		}
		if err := e.writeEvent(answer.Head(), event); err != nil {
			return attemptResult{outcome: placement.Canceled, err: err}
		}
	}
}

func (e *execution) writeEvent(head Head, event Event) error {
	if !e.streamBegun.Load() {
		if err := e.answerWriter.BeginStream(head); err != nil {
			return err
		}
		e.streamBegun.Store(true)
		e.firstEventAt = time.Now()
	}
	e.reading.begun()
	if err := e.answerWriter.WriteEvent(event.Data); err != nil {
		return err
	}
	if event.ID != "" {
		e.lastEventID = event.ID
	}
	return nil
}

func (e *execution) endStream(head Head) attemptResult {
	if !e.streamBegun.Load() {
		if err := e.answerWriter.BeginStream(head); err != nil {
			return attemptResult{outcome: placement.Canceled, err: err}
		}
		e.streamBegun.Store(true)
	}
	return attemptResult{done: true, outcome: placement.Completed, err: e.answerWriter.EndStream()}
}

// prepareRetry prepares the next attempt and returns nil, or returns the reason why
// there is none.
func (e *execution) prepareRetry(ctx context.Context, result attemptResult) error {
	if !result.notRun {
		e.mayHaveRun = true
	}
	if result.escalate {
		e.useLargerModel()
		return nil
	}
	kind := e.request.Route.Kind
	switch {
	case ctx.Err() != nil:
		return context.Cause(ctx)
	case result.outcome == placement.Canceled, !result.notRun && !kind.Repeatable(), e.crashedItsUpstream(result):
		return result.err
	case e.attempts >= e.request.Route.MaxAttempts && !notSent(result) && !result.upstreamLost:
		return result.err
	case time.Until(e.request.Deadline) < minAttemptTime:
		return errDeadline
	}
	if notSent(result) {
		// No upstream received anything, so the attempt doesn't count.
		e.attempts--
		return nil
	}
	if !e.router.spendRetry(e.request.Service) {
		return result.err
	}
	e.reconsiderModel()
	if result.upstreamLost {
		// An attempt at an upstream that became unreachable doesn't count.
		e.attempts--
	}
	return nil
}

// notSent reports whether no byte of the request was sent.
func notSent(result attemptResult) bool {
	return result.notRun && (result.outcome == placement.Unreachable || result.outcome == placement.Closed)
}

// finalError returns the error of a request that was not answered. If an upstream
// reported a failure, it forwards that to the caller instead.
func (e *execution) finalError(err error) error {
	if e.streamBegun.Load() {
		return errors.Join(ErrTruncated, err)
	}
	if errors.Is(err, context.Canceled) && !errors.Is(err, errStopping) {
		return err
	}
	if e.failure != nil {
		return e.answerWriter.WriteAnswer(e.failure.head, e.failure.body)
	}
	deadlinePassed := errors.Is(err, errDeadline) || errors.Is(err, context.DeadlineExceeded)
	if !e.mayHaveRun {
		var refused *refusal.Error
		if errors.As(err, &refused) {
			return refused
		}
		return refusal.New(refusal.NoUpstream, "send the request again after the time in Retry-After", "no upstream of service %q accepted the request (%v)", e.request.Service, err).WithRetryAfter(retryAfter())
	}
	kind := refusal.UpstreamFailed
	if deadlinePassed {
		kind = refusal.DeadlineExceeded
	}
	return refusal.New(kind, "find out whether the request took effect before you send it again", "no upstream of service %q answered the request (%v)", e.request.Service, err).WithMayHaveRun()
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
