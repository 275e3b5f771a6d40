package exchange

import (
	"cmp"
	"time"

	"banyanyard/core/placement"
	"banyanyard/core/trial"
)

// StartTrial starts a trial of an order to move a service to a version. If a trial of
// that version is known, the order is the same one written again: the trial goes on, or
// stays as it has ended.
func (r *Router) StartTrial(o trial.Order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if t := r.knownTrial(now, o); t != nil {
		if t.Order.Revision < o.Revision {
			t.Order.Revision = o.Revision
			r.logTrial(t, "order written again")
		}
		r.trials[o.Service] = t
		delete(r.withdrawnTrials, o.Service)
		r.recordTrial(t)
		return
	}
	if replaced := cmp.Or(r.trials[o.Service], r.withdrawnTrials[o.Service]); replaced != nil {
		r.recordTrial(replaced)
	}
	bounds := r.trialBounds(now)
	if !bounds.Joined {
		r.statesKnown[o.Service] = true // it has learnt of earlier orders as they came
	}
	t := trial.New(now, o, bounds)
	t.Baseline = r.baseline(o.Service)
	for session, at := range r.sessionLastSeen {
		t.RecordOldSession(session, at)
	}
	r.trials[o.Service] = t
	delete(r.withdrawnTrials, o.Service)
	r.Log.Line("rollout").Str("service", o.Service).Str("to", o.To).Str("version", o.Revision.String()).
		Millis("duration-ms", o.Duration).Str("state", trial.Running.String()).Str("history", historyText(r.history(o.Service))).End()
	r.completeIfInForce(t)
	r.recordTrial(t)
}

// knownTrial returns the trial of the service's latest order if that is for the same
// version, and has ended or still has time left; otherwise nil, or the trial of a newer
// order. The caller holds mu.
func (r *Router) knownTrial(now time.Time, o trial.Order) *trial.Trial {
	t := r.trials[o.Service]
	if t == nil {
		t = r.withdrawnTrials[o.Service]
		if t != nil && t.Order.To != o.To {
			return nil
		}
	}
	switch {
	case t == nil:
		return nil
	case t.Order.To != o.To && t.Order.Revision < o.Revision:
		return nil
	}
	if state, _ := t.State(); state == trial.Running && r.trials[o.Service] == nil && now.Sub(t.StartTime()) > t.Order.Duration {
		return nil
	}
	return t
}

// orderAge is how long an instance must have had a configuration when an order arrives
// that it takes for a new one.
const orderAge = time.Second

// trialBounds returns the bounds of a trial that begins now. An instance that has just
// started may have had a part in the trial before and used its part of the slack. The
// caller holds mu.
func (r *Router) trialBounds(now time.Time) trial.Bounds {
	b := r.Bounds.Trial
	b.Joined = r.configuredAt.IsZero() || now.Sub(r.configuredAt) < orderAge
	return b
}

// TrialVersion returns the version that the latest order for a service asks for, or "".
func (r *Router) TrialVersion(service string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.trials[service]; t != nil {
		return t.Order.To
	}
	if t := r.withdrawnTrials[service]; t != nil {
		return t.Order.To
	}
	return ""
}

// RemoveTrial ends the trial of a service whose order was withdrawn. If the order is
// written again, the trial goes on.
func (r *Router) RemoveTrial(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.trials[service]; t != nil {
		r.withdrawnTrials[service] = t
		r.recordTrial(t)
		r.logTrial(t, "withdrawn")
	}
	delete(r.trials, service)
}

// AdoptTrialState adopts the state that another instance has for the trial of a version.
// The reason is logged.
func (r *Router) AdoptTrialState(service, to string, s trial.State, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.trials[service]
	if t == nil || t.Order.To != to || !t.AdoptState(s, reason) {
		return
	}
	r.logTrial(t, "told")
}

// followRecord takes over the state of the record of a service's trial.
func (r *Router) followRecord(service string, record RolloutRecord, source string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.trials[service]; t != nil && t.Order.To == record.To && t.FollowRecord(record.State) {
		r.recordTrial(t)
		r.logTrial(t, source)
	}
}

// LearnReport adds the evidence of another instance to the trial of a service, and
// returns the summary over all instances.
func (r *Router) LearnReport(instance, service string, report trial.Report) trial.Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.trials[service]
	if t == nil {
		return trial.Summary{}
	}
	now := time.Now()
	if t.LearnReport(now, instance, report) {
		r.signalTrialStop(t, "report")
	}
	return t.Summary(now)
}

// LearnSummary merges another instance's summary into the trial of a service.
func (r *Router) LearnSummary(service string, s trial.Summary) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.trials[service]; t != nil {
		if t.LearnSummary(time.Now(), s) {
			r.signalTrialStop(t, "summary")
		}
	}
}

func (r *Router) logTrial(t *trial.Trial, source string) {
	state, reason := t.State()
	exposure := t.TotalExposure()
	r.Log.Line("rollout").Str("service", t.Order.Service).Str("to", t.Order.To).Str("version", t.Order.Revision.String()).
		Str("state", state.String()).Str("why", reason).Str("source", source).Millis("age-ms", time.Since(t.StartTime())).
		Int("new-attempts", int64(exposure.New)).Int("attempts", int64(exposure.All)).Str("evidence", t.EvidenceText()).End()
}

// signalTrialStop logs that a trial has been stopped and signals it on trialNews. The
// caller holds mu.
func (r *Router) signalTrialStop(t *trial.Trial, source string) {
	r.logTrial(t, source)
	r.signalTrialNews()
}

func (r *Router) signalTrialNews() {
	select {
	case r.trialNews <- struct{}{}:
	default:
	}
}

// A versionChoice says whether a request goes to the old or the new version of an order.
// A request may outlast the order for which it was made.
type versionChoice struct {
	to    string // version of the order; empty if there is no choice yet
	toNew bool
}

// pick picks an upstream. During a trial, it chooses the version first and stores
// it in choice.
func (r *Router) pick(q *Request, criteria placement.Criteria, choice *versionChoice) (*placement.Slot, placement.PickResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if q.Session != "" {
		r.sessionLastSeen[q.Session] = now
	}
	t := r.trials[q.Service]
	if t == nil {
		return r.pickWithoutTrial(now, q.Service, criteria)
	}
	if r.awaitsStates(now, q.Service) {
		return nil, placement.NoUpstream
	}
	t.Instances = r.fleet.NumInstances()
	state, _ := t.State()
	switch {
	case state == trial.Stopped:
		choice.toNew = false
	case t.Moved(now):
		choice.toNew = true
	case choice.to != t.Order.To:
		choice.toNew = t.ChooseNew(now, q.Session, q.ID)
	}
	choice.to = t.Order.To
	slot, pickResult := r.pickVersion(now, criteria, t, choice.toNew)
	// Use the other version if the chosen one has no upstream, but start nothing on
	// the old version once all traffic has moved: other instances may record the
	// end at any moment, and the old version is then shut down.
	if pickResult == placement.NoUpstream && state == trial.Running && !t.Moved(now) && (choice.toNew || t.WithinExposeShare() || t.MayHaveEnded(now)) {
		choice.toNew = !choice.toNew
		slot, pickResult = r.pickVersion(now, criteria, t, choice.toNew)
		t.RecordSession(now, q.Session, choice.toNew)
	}
	if slot != nil {
		t.CountAttempt(slot.Upstream.Version == t.Order.To)
		r.recordSessionOnNew(now, q, slot)
	}
	return slot, pickResult
}

// recordSessionOnNew records that a request of a session begins or ends on the version that
// a roll-out is to, if it does. The caller holds mu.
func (r *Router) recordSessionOnNew(now time.Time, q *Request, s *placement.Slot) {
	if t := r.trials[q.Service]; t != nil && q.Session != "" && s.Upstream.Version == t.Order.To {
		t.RecordSessionOnNew(now)
	}
}

// isOnTrial reports whether an upstream has the version that a roll-out is to.
func (r *Router) isOnTrial(s *placement.Slot) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.trials[s.Upstream.Service]
	return t != nil && s.Upstream.Version == t.Order.To
}

// pickWithoutTrial picks an upstream of a service without an order: one of the version in
// force, and another only if there is none.
func (r *Router) pickWithoutTrial(now time.Time, service string, criteria placement.Criteria) (*placement.Slot, placement.PickResult) {
	if r.histories[service] == nil {
		return r.fleet.Pick(now, criteria)
	}
	slot, result := r.pickInForce(now, criteria, "")
	if result == placement.NoUpstream {
		return r.fleet.Pick(now, criteria)
	}
	return slot, result
}

func (r *Router) pickVersion(now time.Time, criteria placement.Criteria, t *trial.Trial, toNew bool) (*placement.Slot, placement.PickResult) {
	if !toNew {
		return r.pickInForce(now, criteria, t.Order.To)
	}
	criteria.AcceptsVersion = func(version string) bool { return version == t.Order.To }
	return r.fleet.Pick(now, criteria)
}

// release releases the slot of an attempt and records its outcome. It reports
// whether the upstream became unreachable.
func (r *Router) release(e *execution, s *placement.Slot, result attemptResult) (lost bool) {
	switch {
	case upstreamCrashed(result):
		r.recordBroken(e, s, result)
	case result.done:
		r.recordAnswer(e)
	}
	outcome := result.outcome
	switch {
	case outcome.ConnectionFailed() && !result.pathLost && r.isDetoured(s.Upstream.Address):
		outcome = placement.Canceled // it is this instance's path that failed; the next attempt takes a detour
	case outcome == placement.Silent && result.detour != nil:
		outcome = placement.Canceled // it is the path to the other instance
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.fleet.Release(now, s, outcome)
	r.recordSessionOnNew(now, e.request, s)
	r.recordOutcome(e, s, result)
	broken := result.outcome == placement.Silent || result.outcome == placement.Broken
	return broken && r.fleet.IsUnreachable(now, s)
}

// recordOutcome adds the outcome of an attempt to the observed latencies and to the
// evidence of the trial. The caller holds mu.
func (r *Router) recordOutcome(e *execution, s *placement.Slot, result attemptResult) {
	q := e.request
	switch {
	case result.firstEvent > 0:
		r.escalator(q.Service).RecordLatency(e.attemptKind(), q.Prompt.Tokens, result.firstEvent, q.Route.LatencyObjective, e.modelIndex == 0)
	case (result.outcome == placement.Broken || result.outcome == placement.Silent) && result.status == 0:
		r.escalator(q.Service).RecordLoss()
	}
	if result.notRun {
		return
	}
	// A connection through another instance may have broken because of that.
	if result.outcome == placement.Canceled || result.detour != nil && (result.outcome == placement.Broken || result.outcome == placement.Silent) {
		r.recordObservation(e, s, trial.Observation{Kind: e.kind(), Duration: result.took, Prompt: q.Prompt.Tokens > 0, Unfinished: true})
		return
	}
	r.recordObservation(e, s, trial.Observation{
		Kind: e.kind(), Duration: result.firstEvent, Prompt: q.Prompt.Tokens > 0,
		Answered: result.outcome == placement.Completed || result.outcome == placement.Failed,
		Failed:   result.outcome == placement.Failed || result.outcome == placement.Broken,
	})
}

// recordObservation adds the observed result of an attempt to the trial of its service,
// or to the baseline. The caller holds mu.
func (r *Router) recordObservation(e *execution, s *placement.Slot, o trial.Observation) {
	service := e.request.Service
	t := r.trials[service]
	o.New = t != nil && s.Upstream.Version == t.Order.To
	if !o.New && !r.isInForce(service, s.Upstream.Version) {
		return // it is evidence of neither version
	}
	if !o.New && !o.Prompt && !o.Failed && !o.Unfinished && o.Duration > 0 {
		r.baseline(service).Durations.Record(o.Kind, o.Duration)
	}
	if t == nil {
		return
	}
	if o.Failed && o.New {
		// Retry on the old version, which is known to work.
		e.versionChoice.toNew = false
	}
	if t.RecordOutcome(o) {
		r.signalTrialStop(t, "evidence")
	}
}

// recordEventGap adds the time between events of a running stream to the evidence
// of the trial. A slow stream would end too late to count as evidence.
func (r *Router) recordEventGap(e *execution, s *placement.Slot, eventGap time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.trials[e.request.Service]
	o := trial.Observation{Kind: e.kind(), Duration: eventGap, Cold: s.Cold}
	o.New = t != nil && s.Upstream.Version == t.Order.To
	if !o.New && !r.isInForce(e.request.Service, s.Upstream.Version) {
		return
	}
	if !o.New && !o.Cold {
		r.baseline(e.request.Service).Gaps.Record(o.Kind, eventGap)
	}
	if t != nil && t.RecordEventGap(time.Now(), o) {
		r.signalTrialStop(t, "evidence")
	}
}

// baseline returns the baseline of a service. The caller holds mu.
func (r *Router) baseline(service string) *trial.Baseline {
	b := r.baselines[service]
	if b == nil {
		b = &trial.Baseline{}
		r.baselines[service] = b
	}
	return b
}

// sessionRetention is how long a session is kept after its last request.
const sessionRetention = 30 * time.Second

// Expire removes state that has expired. It is to be called regularly.
func (r *Router) Expire() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.fleet.RemoveGone(now)
	for _, t := range r.trials {
		t.ExpireSessions(now)
	}
	r.crashes.expire(now)
	for id, at := range r.sessionLastSeen {
		if now.Sub(at) > sessionRetention {
			delete(r.sessionLastSeen, id)
		}
	}
}
