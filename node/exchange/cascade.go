package exchange

import (
	"time"

	"banyanyard/core/cascade"
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
	return e.router.escalate(e.request.Service, cascade.EscalateParams{
		Confidence:       h.Confidence,
		Elapsed:          time.Since(e.request.Arrived),
		LatencyObjective: e.request.Route.LatencyObjective,
		LargerKind:       e.request.Route.Name + "/" + e.models[len(e.models)-1],
	})
}

// useLargerModel makes the larger model answer the next attempt.
func (e *execution) useLargerModel() {
	e.modelIndex = len(e.models) - 1
	e.tried = nil
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

// escalate reports whether a larger model is asked. If so, the attempt counts
// against the retry budget.
func (r *Router) escalate(service string, q cascade.EscalateParams) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.escalator(service).Escalate(q) && r.retryBudget(service).Spend(time.Now())
}

// headTimeout returns how long to wait for the head of the answer to an attempt of
// a kind before the request is retried at another upstream.
func (r *Router) headTimeout(service, kind string, objective time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(time.Duration(headObjectiveFactor*float64(objective)), headLatencyFactor*r.escalator(service).ExpectedLatency(kind))
}

// modelCosts returns the prices of a service's models by name, or nil.
func (r *Router) modelCosts(service string) map[string]float64 {
	if s := r.Table().Service(service); s != nil {
		return s.ModelCosts
	}
	return nil
}
