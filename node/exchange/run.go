package exchange

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"banyanyard/core/cascade"
	"banyanyard/core/place"
	"banyanyard/core/refusal"
	"banyanyard/io/http1"
)

const (
	// maxBodyBytes bounds an answer that is held before it is passed on.
	maxBodyBytes = 8 << 20
	// pickRetryInterval is the time between looks for an upstream while all are busy.
	pickRetryInterval = 20 * time.Millisecond
	// queueTargetFactor is the part of the latency objective for which a request waits
	// for an upstream that has room.
	queueTargetFactor = 0.5
	// headTargetFactor is how often the latency objective may pass before an attempt
	// that can be repeated is given up without an answer.
	headTargetFactor = 2.0
	// headLatencyFactor is how many times the average may pass before that.
	headLatencyFactor = 4
	// gapTargetFactor is how often the longest pause on time may pass before a stream
	// goes on elsewhere.
	gapTargetFactor = 2.0
	// minRetryAfter and retryAfterSpread bound the time that refused callers
	// are told to wait. It is random, so that they do not return together.
	minRetryAfter    = 300 * time.Millisecond
	retryAfterJitter = 700 * time.Millisecond
	// paceSampleEvents is the number of events behind the first after which a stream
	// shows how fast its upstream generates: fewer could all have waited for one
	// prompt.
	paceSampleEvents = 8
	// minAttemptTime is the least time worth another attempt.
	minAttemptTime = 20 * time.Millisecond
)

// An execution is one request while it is answered. It is used by one
// goroutine.
type execution struct {
	router       *Router
	request      *Request
	answerWriter AnswerWriter

	models        []string // that may answer, smallest first; empty where the caller names one
	modelIndex    int      // index of the one that is asked
	attempts      int
	tried         []string         // upstreams that had it
	mayHaveRun    bool             // an attempt may have run
	streamBegun   bool             // the caller has got the head of a stream
	lastEventID   string           // newest event that the caller has
	failure       *upstreamFailure // newest failure that an upstream reported
	firstEventAt  time.Time
	versionChoice versionChoice
}

// A upstreamFailure is an upstream's own report that it failed.
type upstreamFailure struct {
	head Head
	body []byte
}

// errDeadline is the cause of contexts that end with the caller's patience.
var errDeadline = errors.New("the caller's deadline has passed")

// Run answers a request. The error says what the caller was not given; the
// caller has been sent nothing unless ErrBegun is among its causes.
func (r *Router) Run(ctx context.Context, q *Request, out AnswerWriter) error {
	e := &execution{router: r, request: q, answerWriter: out, lastEventID: q.LastEventID}
	if !q.CallerModel {
		e.models = q.Route.Models
	}
	ctx, cancel := context.WithDeadlineCause(ctx, q.Deadline, errDeadline)
	defer cancel()
	r.recordRequest(q.Service)
	if refused := r.refuseSuspect(q); refused != nil {
		e.recordResult(refused)
		return refused
	}
	err := e.run(ctx)
	e.recordResult(err)
	return err
}

// ErrTruncated reports that the caller has been sent a part of an answer that
// cannot be completed.
var ErrTruncated = errors.New("the answer broke off after it had begun")

func (e *execution) run(ctx context.Context) error {
	for {
		slot, err := e.place(ctx)
		if err != nil {
			return e.finalError(err)
		}
		end := e.attempt(ctx, slot)
		end.upstreamLost = e.router.release(e, slot, end)
		e.logAttempt(slot, end)
		if end.done {
			return nil
		}
		if err := e.prepareRetry(ctx, end); err != nil {
			return e.finalError(err)
		}
	}
}

// An attemptResult is how an attempt ended.
type attemptResult struct {
	done         bool // the caller has its answer
	outcome      place.Outcome
	notRun       bool // surely
	err          error
	escalate     bool // a larger model is to answer
	upstreamLost bool // the upstream can no longer be reached
	took         time.Duration
	firstEvent   time.Duration // until the first event or the answer; 0 when there was none
	eventGap     time.Duration // between the first events; 0 when there were too few
	status       int
}

// place finds an upstream, waiting a little while all of them are busy.
func (e *execution) place(ctx context.Context) (*place.Slot, error) {
	until := time.Now().Add(time.Duration(queueTargetFactor * float64(e.request.Route.LatencyTarget)))
	for {
		slot, verdict := e.router.pick(e.request, e.placementNeed(), &e.versionChoice)
		if slot != nil {
			return slot, nil
		}
		if verdict == place.None && len(e.tried) > 0 {
			// Each upstream has had the request; one of them may have it again.
			e.tried = nil
			continue
		}
		// Until the upstreams are known, none may only mean not yet.
		if verdict == place.None && e.router.upstreamsKnown.Load() || time.Now().After(until) {
			return nil, e.noUpstreamError(verdict)
		}
		if err := sleep(ctx, pickRetryInterval); err != nil {
			return nil, err
		}
	}
}

// kind names the requests whose latency and failures are alike.
func (e *execution) kind() string {
	if len(e.models) == 0 {
		return e.request.Route.Name
	}
	return e.request.Route.Name + "/" + e.models[e.modelIndex]
}

func (e *execution) placementNeed() place.Need {
	q := e.request
	return place.Need{
		Service: q.Service,
		Key:     q.Prompt.CacheKey(),
		Work:    e.promptWork(),
		Avoid:   e.tried,
	}
}

// promptWork returns what it takes to read the prompt, in tokens of the largest
// model. The prices of the models stand for their promptWork.
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

func (e *execution) noUpstreamError(v place.Verdict) error {
	kind := refusal.NoUpstream
	return refusal.New(kind, "send the request again after the time in Retry-After", "service %q has no upstream for it (%s)", e.request.Service, v).WithRetryAfter(retryAfter())
}

func retryAfter() time.Duration {
	return minRetryAfter + time.Duration(rand.Int64N(int64(retryAfterJitter)))
}

// attempt sends the request to one upstream.
func (e *execution) attempt(ctx context.Context, slot *place.Slot) attemptResult {
	begin := time.Now()
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
	if e.request.Route.Kind.Repeatable() && e.attempts < e.request.Route.MaxAttempts {
		a.HeadTimeout = min(a.TimeLeft, e.router.headTimeout(e.request.Service, e.kind(), e.request.Route.LatencyTarget))
	}
	answer, err := e.router.Transport.Send(ctx, a)
	if err != nil {
		return e.classifySendError(ctx, err, begin)
	}
	defer answer.Close()
	head := time.Since(begin)
	end := e.receive(ctx, answer, slot)
	end.took = time.Since(begin)
	end.status = answer.Head().Status
	if end.outcome == place.Answered {
		end.firstEvent = head
	}
	return end
}

// classifySendError says what an attempt without an answer means.
func (e *execution) classifySendError(ctx context.Context, err error, begin time.Time) attemptResult {
	end := attemptResult{outcome: place.Broken, err: err, took: time.Since(begin)}
	var unreachable *http1.UnreachableError
	switch {
	case ctx.Err() != nil:
		end.outcome = place.Abandoned
		end.notRun = errors.As(err, &unreachable)
	case errors.As(err, &unreachable):
		end.outcome = place.Unreachable
		end.notRun = true
		if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) {
			end.outcome = place.Closed
		}
	case errors.Is(err, syscall.ETIMEDOUT):
		end.outcome = place.Silent
	}
	return end
}

// receive takes an answer whose head has arrived.
func (e *execution) receive(ctx context.Context, answer Answer, slot *place.Slot) attemptResult {
	head := answer.Head()
	switch {
	case head.Misdirected:
		return attemptResult{outcome: place.Misdirected, notRun: true, err: errors.New("another upstream has the address")}
	case head.NotRun:
		return attemptResult{outcome: place.Refused, notRun: true, err: errors.New("the upstream did not run it")}
	case head.Status >= http.StatusInternalServerError:
		return e.recordUpstreamFailure(ctx, answer)
	case head.Status < http.StatusMultipleChoices && e.request.Route.Kind.Streaming():
		return e.relayStream(ctx, answer, slot)
	}
	body, err := answer.ReadBody(maxBodyBytes)
	if err != nil {
		return e.classifyReadError(ctx, err)
	}
	e.firstEventAt = time.Now()
	return attemptResult{done: true, outcome: place.Answered, err: e.answerWriter.WriteAnswer(head, body)}
}

// recordUpstreamFailure keeps an upstream's report of its failure.
func (e *execution) recordUpstreamFailure(ctx context.Context, answer Answer) attemptResult {
	body, err := answer.ReadBody(maxBodyBytes)
	if err != nil {
		return e.classifyReadError(ctx, err)
	}
	e.failure = &upstreamFailure{head: answer.Head(), body: body}
	return attemptResult{outcome: place.Failed, err: errors.New("the upstream reported a failure")}
}

func (e *execution) classifyReadError(ctx context.Context, err error) attemptResult {
	switch {
	case ctx.Err() != nil:
		return attemptResult{outcome: place.Abandoned, err: err}
	case errors.Is(err, syscall.ETIMEDOUT):
		return attemptResult{outcome: place.Silent, err: err}
	}
	return attemptResult{outcome: place.Broken, err: err}
}

// relayStream relays events until the relayStream is complete.
func (e *execution) relayStream(ctx context.Context, answer Answer, slot *place.Slot) attemptResult {
	if e.shouldEscalate(answer.Head()) {
		return attemptResult{outcome: place.Answered, escalate: true, err: errors.New("a larger model is to answer")}
	}
	gap := time.Duration(gapTargetFactor * float64(e.request.Route.GapTarget))
	var firstAt time.Time
	var pace time.Duration
	for events := 0; ; events++ {
		event, err := answer.NextEvent(gap)
		if errors.Is(err, io.EOF) {
			end := e.endStream(answer.Head())
			end.eventGap = pace
			return end
		}
		if err != nil {
			return e.classifyReadError(ctx, err)
		}
		switch events {
		case 0:
			firstAt = time.Now()
		case paceSampleEvents:
			pace = time.Since(firstAt) / paceSampleEvents
			e.router.recordEventGap(e, slot, pace)
		}
		if err := e.writeEvent(answer.Head(), event); err != nil {
			return attemptResult{outcome: place.Abandoned, err: err}
		}
	}
}

func (e *execution) writeEvent(head Head, event Event) error {
	if !e.streamBegun {
		if err := e.answerWriter.BeginStream(head); err != nil {
			return err
		}
		e.streamBegun = true
		e.firstEventAt = time.Now()
	}
	if err := e.answerWriter.WriteEvent(event.Data); err != nil {
		return err
	}
	if event.ID != "" {
		e.lastEventID = event.ID
	}
	return nil
}

func (e *execution) endStream(head Head) attemptResult {
	if !e.streamBegun {
		if err := e.answerWriter.BeginStream(head); err != nil {
			return attemptResult{outcome: place.Abandoned, err: err}
		}
		e.streamBegun = true
	}
	return attemptResult{done: true, outcome: place.Answered, err: e.answerWriter.EndStream()}
}

// shouldEscalate decides whether a larger model answers instead of this one. The
// caller has received nothing yet.
func (e *execution) shouldEscalate(h Head) bool {
	if e.streamBegun || e.modelIndex >= len(e.models)-1 || h.Confidence < 0 || !e.request.Route.Kind.Repeatable() {
		return false
	}
	if e.attempts >= e.request.Route.MaxAttempts {
		return false
	}
	return e.router.escalate(e.request.Service, cascade.EscalateParams{
		Confidence:    h.Confidence,
		Elapsed:       time.Since(e.request.Arrived),
		LatencyTarget: e.request.Route.LatencyTarget,
		LargerKind:    e.request.Route.Name + "/" + e.models[len(e.models)-1],
	})
}

// prepareRetry decides whether another attempt follows.
func (e *execution) prepareRetry(ctx context.Context, end attemptResult) error {
	if !end.notRun {
		e.mayHaveRun = true
	}
	if end.escalate {
		e.modelIndex = len(e.models) - 1
		e.tried = nil
		return nil
	}
	kind := e.request.Route.Kind
	switch {
	case ctx.Err() != nil:
		return context.Cause(ctx)
	case end.outcome == place.Abandoned:
		return end.err
	case !end.notRun && !kind.Repeatable():
		return end.err
	case e.attempts >= e.request.Route.MaxAttempts && !notSent(end) && !end.upstreamLost:
		return end.err
	case time.Until(e.request.Deadline) < minAttemptTime:
		return errDeadline
	}
	if notSent(end) {
		// Nothing arrived at an upstream.
		e.attempts--
		return nil
	}
	if !e.router.spendRetry(e.request.Service) {
		return end.err
	}
	if end.upstreamLost {
		// An upstream that was cut off doesn't count as one that had its chance.
		e.attempts--
	}
	return nil
}

// notSent reports whether no byte of the request was sent.
func notSent(end attemptResult) bool {
	return end.notRun && (end.outcome == place.Unreachable || end.outcome == place.Closed)
}

// finalError returns what the caller is told. It passes on an upstream's own
// failure where there is one.
func (e *execution) finalError(err error) error {
	if e.streamBegun {
		return errors.Join(ErrTruncated, err)
	}
	if errors.Is(err, context.Canceled) {
		return err
	}
	if e.failure != nil {
		return e.answerWriter.WriteAnswer(e.failure.head, e.failure.body)
	}
	late := errors.Is(err, errDeadline) || errors.Is(err, context.DeadlineExceeded)
	if !e.mayHaveRun {
		var refused *refusal.Error
		if errors.As(err, &refused) {
			return refused
		}
		return refusal.New(refusal.NoUpstream, "send the request again after the time in Retry-After", "no upstream of %q took it (%v)", e.request.Service, err).WithRetryAfter(retryAfter())
	}
	kind := refusal.UpstreamFailed
	if late {
		kind = refusal.DeadlineExceeded
	}
	return refusal.New(kind, "find out whether the request took effect before you send it again", "no upstream of %q answered (%v)", e.request.Service, err).WithMayHaveRun()
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
