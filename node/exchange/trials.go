package exchange

import (
	"time"

	"banyanyard/core/placement"
	"banyanyard/core/trial"
)

// Order takes the order to move a service to a version, unless it is known.
func (r *Router) Order(o trial.Order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.trials[o.Service]; t != nil && t.Order.Revision >= o.Revision {
		return
	}
	now := time.Now()
	t := trial.New(now, o, r.Bounds.Trial)
	for session, at := range r.sessions {
		t.RecordOldSession(session, at)
	}
	r.trials[o.Service] = t
	r.Log.Line("rollout").Str("service", o.Service).Str("to", o.To).Int("version", int64(o.Revision)).
		Millis("duration-ms", o.Duration).Str("state", trial.Running.String()).End()
}

// Withdraw ends the trial of an order that was taken back.
func (r *Router) Withdraw(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.trials, service)
}

// Settle takes the state of an order that others have found.
func (r *Router) Settle(service string, revision uint64, s trial.State, why string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.trials[service]
	if t == nil || t.Order.Revision != revision || !t.AdoptState(s, why) {
		return
	}
	r.logTrial(t, "told")
}

// LearnReport takes the evidence of another instance into account and returns a
// summary of all.
func (r *Router) LearnReport(instance, service string, report trial.Report) trial.Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.trials[service]
	if t == nil {
		return trial.Summary{}
	}
	now := time.Now()
	if t.LearnReport(now, instance, report) {
		r.trialStopped(t)
	}
	return t.Summary(now)
}

// LearnSummary takes what another instance knows of all into account.
func (r *Router) LearnSummary(service string, s trial.Summary) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.trials[service]; t != nil {
		t.LearnSummary(time.Now(), s)
	}
}

func (r *Router) logTrial(t *trial.Trial, source string) {
	state, why := t.State()
	r.Log.Line("rollout").Str("service", t.Order.Service).Str("to", t.Order.To).Int("version", int64(t.Order.Revision)).
		Str("state", state.String()).Str("why", why).Str("source", source).Millis("age-ms", time.Since(t.StartTime())).End()
}

// trialStopped passes on that the evidence has stopped a trial. The caller
// holds mu.
func (r *Router) trialStopped(t *trial.Trial) {
	r.logTrial(t, "evidence")
	select {
	case r.stopped <- struct{}{}:
	default:
	}
}

// A choice is the version that a request was given.
type choice struct {
	made  bool
	toNew bool
}

// pick chooses an upstream of a version that the request may have.
func (r *Router) pick(q *Request, n placement.Criteria, c *choice) (*placement.Slot, placement.PickResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if q.Session != "" {
		r.sessions[q.Session] = now
	}
	t := r.trials[q.Service]
	if t == nil {
		return r.fleet.Pick(now, n)
	}
	t.Instances = r.fleet.NumInstances()
	state, _ := t.State()
	switch {
	case state == trial.Stopped:
		c.toNew = false
	case t.Moved(now):
		c.toNew = true
	case !c.made:
		c.toNew = t.ChooseNew(now, q.Session, q.ID)
	}
	c.made = true
	slot, verdict := r.pickVersion(now, n, t, c.toNew)
	// Once everything has moved, others may record the end at any moment, and
	// the old version stops: nothing starts there any more.
	if verdict == placement.NoUpstream && state == trial.Running && !t.Moved(now) {
		c.toNew = !c.toNew
		slot, verdict = r.pickVersion(now, n, t, c.toNew)
		t.RecordSession(now, q.Session, c.toNew)
	}
	if slot != nil {
		t.CountAttempt(slot.Upstream.Version == t.Order.To)
	}
	return slot, verdict
}

func (r *Router) pickVersion(now time.Time, n placement.Criteria, t *trial.Trial, toNew bool) (*placement.Slot, placement.PickResult) {
	n.AcceptsVersion = func(version string) bool { return (version == t.Order.To) == toNew }
	return r.fleet.Pick(now, n)
}

// release ends an attempt and learns from its outcome. It reports whether the
// upstream was lost.
func (r *Router) release(e *execution, s *placement.Slot, end ending) (lost bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.fleet.Release(now, s, end.outcome)
	r.learn(e, s, end)
	r.noteCrash(now, e.request, s, end)
	broken := end.outcome == placement.Silent || end.outcome == placement.Broken
	return broken && r.fleet.IsUnreachable(now, s)
}

// learn adds the outcome of an attempt to what is known of models and versions.
// The caller holds mu.
func (r *Router) learn(e *execution, s *placement.Slot, end ending) {
	q := e.request
	switch {
	case end.first > 0:
		r.ladder(q.Service).ObserveLatency(e.kind(), end.first, q.Route.LatencyTarget, e.model == 0)
	case (end.outcome == placement.Broken || end.outcome == placement.Silent) && end.status == 0:
		r.ladder(q.Service).ObserveLoss()
	}
	t := r.trials[q.Service]
	if t == nil || end.notRun || end.outcome == placement.Abandoned {
		return
	}
	o := trial.Outcome{New: s.Upstream.Version == t.Order.To, Kind: e.kind(), Duration: end.first}
	o.Failed = end.outcome == placement.Failed || end.outcome == placement.Broken
	if o.Failed && o.New {
		// The next attempt goes to the version that is known to work.
		e.choice.toNew = false
	}
	if t.RecordOutcome(o) {
		r.trialStopped(t)
	}
}

// learnPace adds how fast a stream arrives to what is known of its version,
// while it goes on: a slow one ends too late to be a warning.
func (r *Router) learnPace(e *execution, s *placement.Slot, pace time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.trials[e.request.Service]
	if t != nil && t.RecordEventGap(trial.Outcome{New: s.Upstream.Version == t.Order.To, Kind: e.kind(), Duration: pace}) {
		r.trialStopped(t)
	}
}

// sessionMemory is how long a session is remembered after its last request.
const sessionMemory = 30 * time.Second

// Sweep forgets what is over.
func (r *Router) Sweep() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.fleet.RemoveGone(now)
	for _, t := range r.trials {
		t.ExpireSessions(now)
	}
	r.suspects.Expire(now)
	for id, at := range r.sessions {
		if now.Sub(at) > sessionMemory {
			delete(r.sessions, id)
		}
	}
}
