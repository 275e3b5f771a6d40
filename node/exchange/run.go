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
	"banyanyard/core/placement"
	"banyanyard/core/refusal"
	"banyanyard/io/http1"
)

const (
	// maxWholeBytes bounds an answer that is held before it is passed on.
	maxWholeBytes = 8 << 20
	// busyPause is the time between looks for an upstream while all are busy.
	busyPause = 20 * time.Millisecond
	// queuePart is the part of the latency objective for which a request waits
	// for an upstream that has room.
	queuePart = 0.5
	// headPart is how often the latency objective may pass before an attempt
	// that can be repeated is given up without an answer.
	headPart = 2.0
	// headFactor is how many times the average may pass before that.
	headFactor = 4
	// gapPart is how often the longest pause on time may pass before a stream
	// goes on elsewhere.
	gapPart = 2.0
	// retryAfterLeast and retryAfterSpread bound the time that refused callers
	// are told to wait. It is random, so that they do not return together.
	retryAfterLeast  = 300 * time.Millisecond
	retryAfterSpread = 700 * time.Millisecond
	// paceEvents is the number of events behind the first after which a stream
	// shows how fast its upstream generates: fewer could all have waited for one
	// prompt.
	paceEvents = 8
	// minLeft is the least time worth another attempt.
	minLeft = 20 * time.Millisecond
)

// An execution is one request while it is answered. It is used by one
// goroutine.
type execution struct {
	router  *Router
	request *Request
	out     Output

	models   []string // that may answer, smallest first; empty where the caller names one
	model    int      // index of the one that is asked
	attempts int
	tried    []string // upstreams that had it
	mayRan   bool     // an attempt may have run
	begun    bool     // the caller has got the head of a stream
	after    string   // newest event that the caller has
	failure  *failure // newest failure that an upstream reported
	firstAt  time.Time
	choice   choice
}

// A failure is an upstream's own report that it failed.
type failure struct {
	head Head
	body []byte
}

// errDeadline is the cause of contexts that end with the caller's patience.
var errDeadline = errors.New("the caller's deadline has passed")

// Run answers a request. The error says what the caller was not given; the
// caller has been sent nothing unless ErrBegun is among its causes.
func (r *Router) Run(ctx context.Context, q *Request, out Output) error {
	e := &execution{router: r, request: q, out: out, after: q.After}
	if !q.OwnModel {
		e.models = q.Route.Models
	}
	ctx, cancel := context.WithDeadlineCause(ctx, q.Deadline, errDeadline)
	defer cancel()
	r.countRequest(q.Service)
	if refused := r.refuseCrasher(q); refused != nil {
		e.settle(refused)
		return refused
	}
	err := e.run(ctx)
	e.settle(err)
	return err
}

// ErrBegun reports that the caller has been sent a part of an answer that
// cannot be completed.
var ErrBegun = errors.New("the answer broke off after it had begun")

func (e *execution) run(ctx context.Context) error {
	for {
		slot, err := e.place(ctx)
		if err != nil {
			return e.giveUp(err)
		}
		end := e.attempt(ctx, slot)
		end.lost = e.router.release(e, slot, end)
		e.logAttempt(slot, end)
		if end.done {
			return nil
		}
		if err := e.again(ctx, end); err != nil {
			return e.giveUp(err)
		}
	}
}

// An ending is how an attempt ended.
type ending struct {
	done     bool // the caller has its answer
	outcome  placement.Outcome
	notRun   bool // surely
	err      error
	escalate bool // a larger model is to answer
	lost     bool // the upstream can no longer be reached
	took     time.Duration
	first    time.Duration // until the first event or the answer; 0 when there was none
	pace     time.Duration // between the first events; 0 when there were too few
	status   int
}

// place finds an upstream, waiting a little while all of them are busy.
func (e *execution) place(ctx context.Context) (*placement.Slot, error) {
	until := time.Now().Add(time.Duration(queuePart * float64(e.request.Route.LatencyTarget)))
	for {
		slot, verdict := e.router.pick(e.request, e.need(), &e.choice)
		if slot != nil {
			return slot, nil
		}
		if verdict == placement.NoUpstream && len(e.tried) > 0 {
			// Each upstream has had the request; one of them may have it again.
			e.tried = nil
			continue
		}
		// Until the upstreams are known, none may only mean not yet.
		if verdict == placement.NoUpstream && e.router.upstreamsKnown.Load() || time.Now().After(until) {
			return nil, e.refuse(verdict)
		}
		if err := sleep(ctx, busyPause); err != nil {
			return nil, err
		}
	}
}

// kind names the requests whose latency and failures are alike.
func (e *execution) kind() string {
	if len(e.models) == 0 {
		return e.request.Route.Name
	}
	return e.request.Route.Name + "/" + e.models[e.model]
}

func (e *execution) need() placement.Criteria {
	q := e.request
	return placement.Criteria{
		Service:     q.Service,
		AffinityKey: q.Prompt.Key(),
		PromptWork:  e.work(),
		Exclude:     e.tried,
	}
}

// work returns what it takes to read the prompt, in tokens of the largest
// model. The prices of the models stand for their work.
func (e *execution) work() float64 {
	tokens := float64(e.request.Prompt.Tokens)
	if len(e.models) == 0 {
		return tokens
	}
	costs := e.router.costs(e.request.Service)
	largest := 0.0
	for _, cost := range costs {
		largest = max(largest, cost)
	}
	if largest == 0 {
		return tokens
	}
	return tokens * costs[e.models[e.model]] / largest
}

func (e *execution) refuse(v placement.PickResult) error {
	kind := refusal.NoUpstream
	return refusal.New(kind, "send the request again after the time in Retry-After", "service %q has no upstream for it (%s)", e.request.Service, v).WithRetryAfter(retryAfter())
}

func retryAfter() time.Duration {
	return retryAfterLeast + time.Duration(rand.Int64N(int64(retryAfterSpread)))
}

// attempt sends the request to one upstream.
func (e *execution) attempt(ctx context.Context, slot *placement.Slot) ending {
	begin := time.Now()
	e.attempts++
	e.tried = append(e.tried, slot.Upstream.ID)
	a := &Attempt{
		Request:  e.request,
		Upstream: slot.Upstream,
		After:    e.after,
		Left:     time.Until(e.request.Deadline),
	}
	if len(e.models) > 0 {
		a.Model = e.models[e.model]
	}
	if e.request.Route.Kind.Repeatable() && e.attempts < e.request.Route.MaxAttempts {
		a.HeadTimeout = min(a.Left, e.router.headTimeout(e.request.Service, e.kind(), e.request.Route.LatencyTarget))
	}
	answer, err := e.router.Transport.Send(ctx, a)
	if err != nil {
		return e.unanswered(ctx, err, begin)
	}
	defer answer.Close()
	head := time.Since(begin)
	end := e.receive(ctx, answer, slot)
	end.took = time.Since(begin)
	end.status = answer.Head().Status
	if end.outcome == placement.Answered {
		end.first = head
	}
	return end
}

// unanswered says what an attempt without an answer means.
func (e *execution) unanswered(ctx context.Context, err error, begin time.Time) ending {
	end := ending{outcome: placement.Broken, err: err, took: time.Since(begin)}
	var unreachable *http1.UnreachableError
	switch {
	case ctx.Err() != nil:
		end.outcome = placement.Abandoned
		end.notRun = errors.As(err, &unreachable)
	case errors.As(err, &unreachable):
		end.outcome = placement.Unreachable
		end.notRun = true
		if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) {
			end.outcome = placement.Closed
		}
	case errors.Is(err, syscall.ETIMEDOUT):
		end.outcome = placement.Silent
	}
	return end
}

// receive takes an answer whose head has arrived.
func (e *execution) receive(ctx context.Context, answer Answer, slot *placement.Slot) ending {
	head := answer.Head()
	switch {
	case head.Misdirected:
		return ending{outcome: placement.Misdirected, notRun: true, err: errors.New("another upstream has the address")}
	case head.NotRun:
		return ending{outcome: placement.Refused, notRun: true, err: errors.New("the upstream did not run it")}
	case head.Status >= http.StatusInternalServerError:
		return e.failed(ctx, answer)
	case head.Status < http.StatusMultipleChoices && e.request.Route.Kind.Streaming():
		return e.stream(ctx, answer, slot)
	}
	body, err := answer.Whole(maxWholeBytes)
	if err != nil {
		return e.unread(ctx, err)
	}
	e.firstAt = time.Now()
	return ending{done: true, outcome: placement.Answered, err: e.out.Whole(head, body)}
}

// failed keeps an upstream's report of its failure.
func (e *execution) failed(ctx context.Context, answer Answer) ending {
	body, err := answer.Whole(maxWholeBytes)
	if err != nil {
		return e.unread(ctx, err)
	}
	e.failure = &failure{head: answer.Head(), body: body}
	return ending{outcome: placement.Failed, err: errors.New("the upstream reported a failure")}
}

func (e *execution) unread(ctx context.Context, err error) ending {
	switch {
	case ctx.Err() != nil:
		return ending{outcome: placement.Abandoned, err: err}
	case errors.Is(err, syscall.ETIMEDOUT):
		return ending{outcome: placement.Silent, err: err}
	}
	return ending{outcome: placement.Broken, err: err}
}

// stream relays events until the stream is complete.
func (e *execution) stream(ctx context.Context, answer Answer, slot *placement.Slot) ending {
	if e.escalates(answer.Head()) {
		return ending{outcome: placement.Answered, escalate: true, err: errors.New("a larger model is to answer")}
	}
	gap := time.Duration(gapPart * float64(e.request.Route.GapTarget))
	var firstAt time.Time
	var pace time.Duration
	for events := 0; ; events++ {
		event, err := answer.Next(gap)
		if errors.Is(err, io.EOF) {
			end := e.complete(answer.Head())
			end.pace = pace
			return end
		}
		if err != nil {
			return e.unread(ctx, err)
		}
		switch events {
		case 0:
			firstAt = time.Now()
		case paceEvents:
			pace = time.Since(firstAt) / paceEvents
			e.router.learnPace(e, slot, pace)
		}
		if err := e.deliver(answer.Head(), event); err != nil {
			return ending{outcome: placement.Abandoned, err: err}
		}
	}
}

func (e *execution) deliver(head Head, event Event) error {
	if !e.begun {
		if err := e.out.Begin(head); err != nil {
			return err
		}
		e.begun = true
		e.firstAt = time.Now()
	}
	if err := e.out.Event(event.Data); err != nil {
		return err
	}
	if event.ID != "" {
		e.after = event.ID
	}
	return nil
}

func (e *execution) complete(head Head) ending {
	if !e.begun {
		if err := e.out.Begin(head); err != nil {
			return ending{outcome: placement.Abandoned, err: err}
		}
		e.begun = true
	}
	return ending{done: true, outcome: placement.Answered, err: e.out.End()}
}

// escalates decides whether a larger model answers instead of this one. The
// caller has received nothing yet.
func (e *execution) escalates(h Head) bool {
	if e.begun || e.model >= len(e.models)-1 || h.Confidence < 0 || !e.request.Route.Kind.Repeatable() {
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

// again decides whether another attempt follows.
func (e *execution) again(ctx context.Context, end ending) error {
	if !end.notRun {
		e.mayRan = true
	}
	if end.escalate {
		e.model = len(e.models) - 1
		e.tried = nil
		return nil
	}
	kind := e.request.Route.Kind
	switch {
	case ctx.Err() != nil:
		return context.Cause(ctx)
	case end.outcome == placement.Abandoned:
		return end.err
	case !end.notRun && !kind.Repeatable():
		return end.err
	case e.attempts >= e.request.Route.MaxAttempts && !unsent(end) && !end.lost:
		return end.err
	case time.Until(e.request.Deadline) < minLeft:
		return errDeadline
	}
	if unsent(end) {
		// Nothing arrived at an upstream.
		e.attempts--
		return nil
	}
	if !e.router.spendRetry(e.request.Service) {
		return end.err
	}
	if end.lost {
		// An upstream that was cut off doesn't count as one that had its chance.
		e.attempts--
	}
	return nil
}

// unsent reports whether no byte of the request was sent.
func unsent(end ending) bool {
	return end.notRun && (end.outcome == placement.Unreachable || end.outcome == placement.Closed)
}

// giveUp returns what the caller is told. It passes on an upstream's own
// failure where there is one.
func (e *execution) giveUp(err error) error {
	if e.begun {
		return errors.Join(ErrBegun, err)
	}
	if errors.Is(err, context.Canceled) {
		return err
	}
	if e.failure != nil {
		return e.out.Whole(e.failure.head, e.failure.body)
	}
	late := errors.Is(err, errDeadline) || errors.Is(err, context.DeadlineExceeded)
	if !e.mayRan {
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
