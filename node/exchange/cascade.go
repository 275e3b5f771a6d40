package exchange

import (
	"math"
	"slices"
	"time"

	"banyanyard/core/cascade"
	"banyanyard/io/jsonlog"
)

// shouldEscalate reports whether a larger model is to answer instead of this one.
// That is possible only before the caller has received anything.
func (e *execution) shouldEscalate(h Head) bool {
	if e.streamBegun.Load() || e.modelIndex >= len(e.models)-1 || h.Confidence < 0 || !e.request.Route.Kind.Repeatable() {
		return false
	}
	if e.attempts >= e.request.Route.MaxAttempts {
		return false
	}
	e.confidence = h.Confidence
	e.decision = e.router.escalate(e.request.Service, e.escalateParams())
	return e.decision.Model != ""
}

func (e *execution) escalateParams() cascade.EscalateParams {
	q := e.request
	now := time.Now()
	return cascade.EscalateParams{
		Now:              now,
		Kind:             q.Route.Name,
		Model:            e.model(),
		Smallest:         e.models[0],
		Larger:           e.models[e.modelIndex+1:],
		Confidence:       e.confidence,
		PromptTokens:     q.Prompt.Tokens,
		Length:           cascade.Length{Hint: q.OutputHint, Max: q.OutputMax},
		Elapsed:          now.Sub(q.Arrived),
		TimeLeft:         q.Deadline.Sub(now),
		LatencyObjective: q.Route.LatencyObjective,
		GapTarget:        q.Route.GapTarget,
	}
}

// reserveLarger picks the upstream of the larger model that was chosen. If there is none, the
// answer that has come is delivered.
func (e *execution) reserveLarger() bool {
	index, tried, choice := e.modelIndex, e.tried, e.versionChoice
	e.useLargerModel()
	reserved := e.reserveNext()
	e.modelIndex = index // until the attempt in progress has ended
	if !reserved {
		e.tried, e.versionChoice = tried, choice
		e.decision.Model, e.decision.Reason = "", cascade.NoUpstream
	}
	return reserved
}

// useLargerModel makes the larger model that was chosen answer the next attempt.
func (e *execution) useLargerModel() {
	e.modelIndex = slices.Index(e.models, e.decision.Model)
	e.tried = nil
}

// reconsiderModel makes the smallest model answer the next attempt if the larger one that
// was asked cannot end in time any more.
func (e *execution) reconsiderModel() {
	if e.modelIndex == 0 || e.streamBegun.Load() {
		return
	}
	r := e.router
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.escalator(e.request.Service).EndsInTime(e.escalateParams(), e.model()) {
		e.modelIndex = 0
	}
}

// model returns the model to ask, or "" if the caller names it.
func (e *execution) model() string {
	if len(e.models) == 0 {
		return ""
	}
	return e.models[e.modelIndex]
}

// attemptKind returns the kind of attempt for which times are predicted.
func (e *execution) attemptKind() cascade.Attempt {
	return cascade.Attempt{Kind: e.request.Route.Name, Model: e.model()}
}

// recordStep records the confidence of a larger model that has been asked.
func (e *execution) recordStep(h Head) {
	if e.decision.Model == "" || e.decision.Model != e.model() || h.Confidence < 0 || e.streamBegun.Load() {
		return
	}
	r := e.router
	r.mu.Lock()
	defer r.mu.Unlock()
	r.escalator(e.request.Service).RecordStep(e.decision.From, e.model(), e.confidence, h.Confidence)
}

// escalator returns the escalator of a service. The caller holds mu.
func (r *Router) escalator(service string) *cascade.Escalator {
	e := r.escalators[service]
	if e == nil {
		e = &cascade.Escalator{}
		r.escalators[service] = e
	}
	return e
}

// escalate decides whether a larger model is asked. If so, the attempt counts
// against the retry budget.
func (r *Router) escalate(service string, q cascade.EscalateParams) cascade.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := r.escalator(service).Escalate(q)
	if d.Model != "" && !r.retryBudget(service).Spend(time.Now()) {
		d.Model, d.Reason = "", cascade.NoBudget
	}
	r.Metrics.escalations.WithLabelValues(service, string(d.Reason)).Inc()
	return d
}

// headTimeout returns how long to wait for the head of the answer to such an attempt
// before the request is retried at another upstream.
func (r *Router) headTimeout(service string, a cascade.Attempt, objective time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(time.Duration(headObjectiveFactor*float64(objective)), headLatencyFactor*r.escalator(service).ExpectedLatency(a))
}

// modelCosts returns the prices of a service's models by name, or nil.
func (r *Router) modelCosts(service string) map[string]float64 {
	if s := r.Table().Service(service); s != nil {
		return s.ModelCosts
	}
	return nil
}

// logModel logs the model of an attempt and what decided whether a larger one is asked.
func (e *execution) logModel(line *jsonlog.Line, result attemptResult) {
	line.Str("model", e.model()).Bool("escalated", result.escalate)
	d := &e.decision
	if d.Reason == "" || d.From != e.model() {
		return
	}
	line.Int("confidence", int64(e.confidence)).Int("required", int64(math.Round(d.Required))).Str("decision", string(d.Reason))
	if d.Outlook.Known {
		line.Millis("larger-end-ms", d.Outlook.End).Float("larger-end-chance", d.Outlook.Chance).
			Millis("larger-pause-ms", d.Outlook.Pause).Millis("larger-age-ms", d.Outlook.Age)
	}
}
