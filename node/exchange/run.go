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
	"banyanyard/io/tunnel"
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
	// maxUnsent is the number of attempts of a request that other instances may decline to
	// connect before that counts against the upstream: others may be reached.
	maxUnsent = 2
	// minAttemptTime is the minimum time before the deadline for another attempt.
	minAttemptTime = 20 * time.Millisecond
)

// An execution is the state of a request while it is answered. It is used by one
// goroutine.
type execution struct {
	router       *Router
	request      *Request
	answerWriter AnswerWriter
	caller       <-chan struct{} // closed once the caller has left

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
	unsent        int              // attempts that other instances did not connect
	next          *placement.Slot  // of the next attempt, whose retry is spent; see giveUp
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

// Run answers a request. If it returns an error that wraps none of ErrTruncated,
// ErrNotDelivered and ErrCallerLeft, nothing of an answer has been sent to the caller.
func (r *Router) Run(ctx context.Context, q *Request, out AnswerWriter) error {
	e := &execution{router: r, request: q, answerWriter: out, lastEventID: q.LastEventID, caller: ctx.Done()}
	if !q.CallerModel {
		e.models = q.Route.Models
	}
	ctx, cancel := context.WithDeadlineCause(ctx, q.Deadline, errDeadline)
	defer cancel()
	ctx, unwatch := e.untilStop(ctx)
	defer unwatch()
	r.beginRequest(q)
	defer r.endRequest(q)
	err := e.run(ctx)
	e.recordResult(err)
	return err
}

// ErrTruncated reports that the caller has received part of an answer that cannot
// be completed.
var ErrTruncated = errors.New("the answer was cut off after part of it had been sent")

// ErrNotDelivered reports that the answer cannot be written to the caller.
var ErrNotDelivered = errors.New("the answer cannot be written to the caller")

// ErrCallerLeft reports that the caller has left before the answer was complete.
var ErrCallerLeft = errors.New("the caller has left")

// notDelivered returns the error of a write to the caller as an ErrNotDelivered; nil if it
// succeeded.
func notDelivered(err error) error {
	if err == nil {
		return nil
	}
	return errors.Join(ErrNotDelivered, err)
}

func (e *execution) run(ctx context.Context) error {
	began := time.Now()
	defer e.releaseNext()
	for {
		slot, err := e.takeNext(), error(nil)
		if slot == nil {
			slot, err = e.pickUpstream(ctx)
		}
		if err != nil {
			return e.finalError(err)
		}
		result := e.attempt(ctx, slot)
		result.upstreamLost = e.router.release(e, slot, result)
		e.logAttempt(slot, result)
		if result.done {
			e.router.recordAnswerTime(e.request.Route.Name, time.Since(began))
			e.router.startLoadTest(e, slot, result)
			return result.err
		}
		if err := e.prepareRetry(ctx, result); err != nil {
			return e.finalError(err)
		}
	}
}

// An attemptResult is the result of an attempt.
type attemptResult struct {
	done         bool // the answer is whole and was written to the caller, unless err says otherwise
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
	detour       *Detour       // that a new connection took; nil for none
	pathLost     bool          // the direct path was known to be lost when the attempt began
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
		// Before all rows have been read, an upstream may still appear.
		if pickResult == placement.NoUpstream && !e.router.awaitsRows(e.request.Service) || time.Now().After(waitUntil) {
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
	a := e.newAttempt(slot)
	pathLost := e.router.isDetoured(slot.Upstream.Address)
	reading := e.router.demands.begin(e.request.Service)
	defer reading.end()
	e.reading = reading
	e.router.takeTurn(e)
	ctx = e.router.crashes.begin(ctx, e, &slot.Upstream)
	defer e.router.crashes.end(e)
	answer, err := e.router.Transport.Send(ctx, a)
	if err != nil {
		e.router.recordDetourFailed(a, err)
		result := e.classifySendError(ctx, err, start)
		result.detour, result.pathLost = a.Detour, pathLost
		return result
	}
	defer answer.Close()
	e.recordHead(a, slot, answer.Head(), start)
	headLatency := time.Since(start)
	result := e.receive(ctx, answer, slot)
	result.took = time.Since(start)
	result.status = answer.Head().Status
	result.limit = answer.Head().Limit
	result.detour, result.pathLost = a.Detour, pathLost
	if result.outcome == placement.Completed {
		result.firstEvent = headLatency
	}
	return result
}

// recordHead records what the head of an answer says of its upstream.
func (e *execution) recordHead(a *Attempt, slot *placement.Slot, head Head, sentAt time.Time) {
	e.router.recordAnswered(a)
	e.router.recordLimit(slot, head, sentAt)
	e.router.recordBrittle(slot, head)
	e.router.recordAdmission(slot, head)
}

// newAttempt returns the attempt to send to an upstream.
func (e *execution) newAttempt(slot *placement.Slot) *Attempt {
	a := &Attempt{
		Request:     e.request,
		Upstream:    slot.Upstream,
		LastEventID: e.lastEventID,
		TimeLeft:    time.Until(e.request.Deadline),
		Detour:      e.router.detourTo(slot.Upstream.Address),
	}
	if len(e.models) > 0 {
		a.Model = e.models[e.modelIndex]
	}
	e.boundWaits(a, slot)
	return a
}

// boundWaits bounds what an attempt waits for, if another may follow it.
func (e *execution) boundWaits(a *Attempt, slot *placement.Slot) {
	if !e.mayFollow() {
		a.SilenceTimeout = lastSilenceTimeout
		return
	}
	a.HeadTimeout = min(a.TimeLeft, e.router.headTimeout(e.request.Service, e.attemptKind(), e.request.Route.LatencyObjective))
	a.GiveUp = func() bool { return e.giveUp(slot) }
}

// mayFollow reports whether another attempt may follow the one in progress, so that giving up
// on its upstream for a pause gains anything.
func (e *execution) mayFollow() bool {
	route := e.request.Route
	return !e.probe && route.Kind.Repeatable() && e.attempts < route.MaxAttempts && e.router.mayRetry(e.request.Service)
}

// giveUp reports whether the attempt in progress is given up because its upstream has been
// silent for longer than expected. It is not unless the next attempt is certain, with its
// retry spent and its upstream picked: other requests may have used what there was when
// the wait began, and an upstream that pauses may go on.
func (e *execution) giveUp(current *placement.Slot) bool {
	if e.next != nil {
		return true
	}
	if !e.mayFollow() {
		return false
	}
	choice, tried := e.versionChoice, e.tried
	if e.router.isOnTrial(current) {
		e.versionChoice.toNew = false // as for an attempt that has failed
	}
	if e.reserveNext() && e.router.spendRetry(e.request.Service) {
		return true
	}
	e.releaseNext()
	e.versionChoice, e.tried = choice, tried
	return false
}

// reserveNext picks the upstream of an attempt that is to follow the one in progress, if
// the request would be sent now.
func (e *execution) reserveNext() bool {
	if time.Until(e.request.Deadline) < minAttemptTime || e.refuseLate() != nil {
		return false
	}
	if found := e.router.crashes.suspicion(e); !e.probe && (found.verdict != nil || found.wait) {
		return false
	}
	slot, result := e.router.pick(e.request, e.placementCriteria(), &e.versionChoice)
	if result == placement.NoUpstream && len(e.tried) > 0 {
		e.tried = nil // all upstreams have had the request
		slot, _ = e.router.pick(e.request, e.placementCriteria(), &e.versionChoice)
	}
	e.next = slot
	return slot != nil
}

// takeNext returns the slot that giveUp has picked, or nil.
func (e *execution) takeNext() *placement.Slot {
	slot := e.next
	e.next = nil
	return slot
}

// releaseNext releases the slot that giveUp has picked if it is not used.
func (e *execution) releaseNext() {
	if slot := e.takeNext(); slot != nil {
		e.router.WithFleet(func(now time.Time, f *placement.Fleet) { f.Release(now, slot, placement.Canceled) })
	}
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
	var refused *tunnel.RefusedError
	switch {
	case ctx.Err() != nil:
		result.outcome = placement.Canceled
		result.notRun = errors.As(err, &unreachable)
		result.err = context.Cause(ctx)
	case errors.As(err, &refused) && e.unsent < maxUnsent:
		e.unsent++
		result.outcome = placement.Unsent
		result.notRun = true
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
	return attemptResult{done: true, outcome: placement.Completed, err: notDelivered(e.answerWriter.WriteAnswer(head, body))}
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
	if e.shouldEscalate(answer.Head()) && e.reserveLarger() {
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
			return attemptResult{outcome: placement.Canceled, err: notDelivered(err)}
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
			return attemptResult{outcome: placement.Canceled, err: notDelivered(err)}
		}
		e.streamBegun.Store(true)
	}
	return attemptResult{done: true, outcome: placement.Completed, err: notDelivered(e.answerWriter.EndStream())}
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
	case errors.Is(result.err, ErrNotDelivered):
		return result.err // the writer may have ended the context as well
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
		e.leaveDetour(result)
		return nil
	}
	if !e.takeRetry() {
		return result.err
	}
	e.reconsiderModel()
	if result.upstreamLost {
		// An attempt at an upstream that became unreachable doesn't count.
		e.attempts--
	}
	return nil
}

// leaveDetour lets the next attempt go to the same upstream, if it was another instance that did
// not send this one.
func (e *execution) leaveDetour(result attemptResult) {
	if result.outcome != placement.Unsent {
		return
	}
	e.tried = e.tried[:len(e.tried)-1]
}

// takeRetry takes a retry of the budget unless giveUp has, and reports whether there was one.
func (e *execution) takeRetry() bool {
	return e.next != nil || e.router.spendRetry(e.request.Service)
}

// notSent reports whether no byte of the request was sent.
func notSent(result attemptResult) bool {
	return result.notRun && (result.outcome == placement.Unreachable || result.outcome == placement.Closed || result.outcome == placement.Unsent)
}

// callerLeft reports whether the caller has left. Errors of attempts do not tell: one that is
// ended by something else may look the same.
func (e *execution) callerLeft() bool {
	select {
	case <-e.caller:
		return true
	default:
		return false
	}
}

// finalError returns the error of a request that was not answered. If an upstream
// reported a failure, it forwards that to the caller instead.
func (e *execution) finalError(err error) error {
	left := e.callerLeft()
	if left {
		err = errors.Join(ErrCallerLeft, err)
	}
	switch {
	case e.streamBegun.Load():
		return errors.Join(ErrTruncated, err)
	case left, errors.Is(err, ErrNotDelivered):
		return err
	}
	if e.failure != nil {
		return notDelivered(e.answerWriter.WriteAnswer(e.failure.head, e.failure.body))
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
