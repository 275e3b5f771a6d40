package exchange

import (
	"context"
	"net/http"
	"sync"
	"time"

	"banyanyard/core/placement"
	"banyanyard/core/routing"
	"banyanyard/core/tally"
	"banyanyard/core/trial"
)

const (
	// loadTestTime bounds a load test. Copies that are not sent by then are not sent.
	loadTestTime = 600 * time.Millisecond
	// minLoadTestWork is the time that an answer must have taken for copies of its request
	// to load an upstream: shorter ones would end before others arrive.
	minLoadTestWork = 5 * time.Millisecond
	// sufficientFailures is the number of copies that fail after which a load test ends.
	sufficientFailures = 8
	// screeningControls is the number of copies that the old version gets first. If more than
	// maxScreeningFailures of them fail, another request is to be used. maxControls is the
	// number if copies fail on the new version, and controlWorkers how many run at once.
	screeningControls    = 6
	maxScreeningFailures = 1
	maxControls          = 12
	controlWorkers       = 2
)

// A loadTest sends copies of a request to one upstream of the new version of a trial, as
// many at once as the upstream has slots. Others go to the old version, before that and, if
// some failed, after it, to find out whether the request fails there too. See
// trial.Trial.MayLoadTest.
type loadTest struct {
	router    *Router
	trial     *trial.Trial
	execution *execution         // of the request, which has ended
	upstream  placement.Upstream // of the new version
	old       placement.Upstream // that has answered the request
	size      trial.LoadTestSize

	// Guarded by router.mu.
	sent      int // copies to the new version
	controls  int // copies to the old version
	copies    trial.Copies
	brokenOff bool // an upstream refused a copy or broke it off, which tells nothing about the version
}

// startLoadTest starts a load test with copies of a request that was answered well, if one
// is due and the request may run again.
func (r *Router) startLoadTest(e *execution, slot *placement.Slot, result attemptResult) {
	if l := r.takeLoadTest(e, slot, result); l != nil {
		go l.run()
	}
}

// takeLoadTest returns the load test to start with copies of a request, or nil.
func (r *Router) takeLoadTest(e *execution, slot *placement.Slot, result attemptResult) *loadTest {
	q := e.request
	switch {
	case q.Route.Kind != routing.Idempotent, q.Prompt.Tokens > 0, e.attempts >= q.Route.MaxAttempts:
		return nil
	case result.outcome != placement.Completed || result.status >= http.StatusMultipleChoices || result.took < minLoadTestWork:
		return nil
	case time.Until(q.Deadline) < loadTestTime:
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	t := r.trials[q.Service]
	if t == nil || slot.Upstream.Version == t.Order.To || !r.isInForce(q.Service, slot.Upstream.Version) {
		return nil
	}
	t.SetCopyable()
	if !t.MayLoadTest(now) {
		return nil
	}
	criteria := e.placementCriteria()
	first, _ := r.pickVersion(now, criteria, t, true)
	if first == nil {
		return nil
	}
	defer r.fleet.Release(now, first, placement.Canceled)
	if first.Cold {
		return nil
	}
	size := t.PrepareLoadTest(now, first.Upstream.Slots)
	if size.Most == 0 {
		return nil
	}
	return &loadTest{router: r, trial: t, execution: e, upstream: first.Upstream, old: slot.Upstream, size: size}
}

// run sends the copies, records their outcomes, and logs them.
func (l *loadTest) run() {
	ctx, cancel := context.WithTimeout(context.Background(), loadTestTime)
	defer cancel()
	l.sendAll(ctx, controlWorkers, l.reserveControl, &l.copies.Old)
	if l.begin() {
		l.sendAll(ctx, min(l.upstream.Slots, l.size.Most), l.reserve, &l.copies.New)
		l.sendAll(ctx, controlWorkers, l.reserveControl, &l.copies.Old)
	}
	r := l.router
	r.mu.Lock()
	defer r.mu.Unlock()
	l.log()
	if l.sent > 0 && l.trial.RecordLoadTest(l.copies) {
		r.signalTrialStop(l.trial, "load test")
	}
}

// begin reports whether copies may go to the new version: those to the old version were mostly
// answered well, and a load test is still due.
func (l *loadTest) begin() bool {
	r := l.router
	r.mu.Lock()
	defer r.mu.Unlock()
	if l.copies.Old.Bad > maxScreeningFailures || l.copies.Old.N() < screeningControls {
		l.trial.CancelLoadTest()
		return false
	}
	if !l.trial.BeginLoadTest(time.Now()) {
		return false
	}
	r.signalTrialNews()
	return true
}

// sendAll sends copies until no more can be reserved, as many at once as there are workers,
// and counts the answers.
func (l *loadTest) sendAll(ctx context.Context, workers int, reserve func(context.Context) *placement.Slot, answers *tally.Counts) {
	var group sync.WaitGroup
	for range workers {
		group.Go(func() {
			for slot := reserve(ctx); slot != nil; slot = reserve(ctx) {
				l.release(slot, l.send(ctx, slot), answers)
			}
		})
	}
	group.Wait()
}

// reserve returns a slot for the next copy to the new version, or nil if there is none.
func (l *loadTest) reserve(ctx context.Context) *placement.Slot {
	r := l.router
	r.mu.Lock()
	defer r.mu.Unlock()
	bad := l.copies.New.Bad
	if l.sent >= l.size.Most || bad == 0 && l.sent >= l.size.Sufficient || bad >= sufficientFailures {
		return nil
	}
	slot := l.pick(ctx, placement.Criteria{Service: l.upstream.Service, Only: l.upstream.ID})
	if slot != nil {
		l.sent++
		l.trial.CountAttempt(true)
	}
	return slot
}

// reserveControl returns a slot for the next copy to the old version, or nil if there is
// none or none is needed.
func (l *loadTest) reserveControl(ctx context.Context) *placement.Slot {
	r := l.router
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case l.sent == 0 && (l.controls >= screeningControls || l.copies.Old.Bad > maxScreeningFailures):
		return nil
	case l.sent > 0 && (l.copies.New.Bad == 0 || l.controls >= maxControls):
		return nil
	}
	// The same upstream, as the route bounds the number of upstreams that run a request.
	slot := l.pick(ctx, placement.Criteria{Service: l.old.Service, Only: l.old.ID})
	if slot != nil {
		l.controls++
		l.trial.CountAttempt(false)
	}
	return slot
}

// pick picks an upstream for a copy unless the load test is to end. The caller holds
// router.mu.
func (l *loadTest) pick(ctx context.Context, criteria placement.Criteria) *placement.Slot {
	now := time.Now()
	state, _ := l.trial.State()
	if ctx.Err() != nil || l.brokenOff || state != trial.Running || !l.router.retryBudget(criteria.Service).Spend(now) {
		return nil
	}
	slot, _ := l.router.fleet.Pick(now, criteria)
	return slot
}

// send sends a copy and returns how it ended.
func (l *loadTest) send(ctx context.Context, slot *placement.Slot) placement.Outcome {
	start := time.Now()
	left := l.execution.request.Deadline.Sub(start)
	answer, err := l.router.Transport.Send(ctx, &Attempt{Request: l.execution.request, Upstream: slot.Upstream, TimeLeft: left, HeadTimeout: left})
	if err != nil {
		return l.execution.classifySendError(ctx, err, start).outcome
	}
	defer answer.Close()
	head := answer.Head()
	switch {
	case head.Misdirected:
		return placement.Misdirected
	case head.NotRun:
		return placement.Refused
	}
	if _, err := answer.ReadBody(maxBodyBytes, left); err != nil {
		return l.execution.classifyReadError(ctx, err).outcome
	}
	if head.Status >= http.StatusInternalServerError {
		return placement.Failed
	}
	return placement.Completed
}

// release releases the slot of a copy and counts its answer.
func (l *loadTest) release(slot *placement.Slot, outcome placement.Outcome, answers *tally.Counts) {
	r := l.router
	r.mu.Lock()
	defer r.mu.Unlock()
	switch outcome {
	case placement.Completed:
		answers.Good++
	case placement.Failed:
		answers.Bad++
		outcome = placement.Canceled // it says nothing about this upstream beside others
	default:
		l.brokenOff = true
	}
	r.fleet.Release(time.Now(), slot, outcome)
}

// log logs the result. The caller holds router.mu.
func (l *loadTest) log() {
	o := l.trial.Order
	l.router.Log.Line("rollout-load-test").Str("service", o.Service).Str("to", o.To).Str("version", o.Revision.String()).
		Str("request", l.execution.request.ID).Str("upstream", l.upstream.ID).Millis("age-ms", time.Since(l.trial.StartTime())).
		Int("sent", int64(l.sent)).Int("answered", int64(l.copies.New.N())).Int("failed", int64(l.copies.New.Bad)).
		Int("controls", int64(l.copies.Old.N())).Int("controls-failed", int64(l.copies.Old.Bad)).Bool("broken-off", l.brokenOff).End()
}
