package exchange

import (
	"fmt"
	"strings"
	"time"

	"banyanyard/core/placement"
	"banyanyard/core/trial"
)

// The router keeps what became of the versions that earlier orders were for. Upstreams of a
// version outlast its order by seconds, and the next order may come at once: the versions in
// force are not all those that this order is not for.

// history returns what the orders for a service have made of its versions. The caller holds
// mu.
func (r *Router) history(service string) *trial.History {
	h := r.histories[service]
	if h == nil {
		h = &trial.History{}
		r.histories[service] = h
	}
	return h
}

// recordTrial records the state of a trial in the history of its service. The caller holds
// mu.
func (r *Router) recordTrial(t *trial.Trial) {
	state, _ := t.State()
	r.recordOrder(t.Order.Service, RolloutRecord{To: t.Order.To, Revision: t.Order.Revision, State: state}, "order")
}

// recordOrder records the state of an order in the history of its service. The caller holds
// mu.
func (r *Router) recordOrder(service string, record RolloutRecord, source string) {
	h := r.history(service)
	if h.Record(record.To, record.Revision, record.State) {
		r.logHistory(service, h, source)
	}
}

// mergeHistory adds what a stored history knows. The caller holds mu.
func (r *Router) mergeHistory(service string, records []trial.VersionRecord) {
	h := r.history(service)
	if !h.Merge(records) {
		return
	}
	r.logHistory(service, h, "store")
	t := r.trials[service]
	if t == nil {
		return
	}
	r.completeIfInForce(t)
	if h.StoppedBy(t.Order) && t.AdoptState(trial.Stopped, "the order was stopped") {
		r.logTrial(t, "history")
	}
}

// completeIfInForce completes the trial of an order for the version that is in force
// already: there is no other version that its requests could go to. The caller holds mu.
func (r *Router) completeIfInForce(t *trial.Trial) {
	if r.history(t.Order.Service).Current() == t.Order.To && t.AdoptState(trial.Completed, "the version is in force") {
		r.recordTrial(t)
		r.logTrial(t, "history")
	}
}

// acceptsInForce returns which versions get the requests of a service that are not for the
// version except, which an order is for: those in force or, if no upstream has one of
// these, those that were not stopped. The caller holds mu.
func (r *Router) acceptsInForce(now time.Time, service, except string) func(version string) bool {
	h := r.histories[service]
	if h == nil {
		return func(version string) bool { return version != except }
	}
	inForce := h.InForce()
	accepts := func(version string) bool { return version != except && inForce(version) }
	if !r.upstreamsKnown.Load() || r.fleet.Serves(now, service, accepts) {
		return accepts
	}
	return func(version string) bool { return version != except && !h.Stopped(version) }
}

// isInForce reports whether a version of a service is in force. The caller holds mu.
func (r *Router) isInForce(service, version string) bool {
	h := r.histories[service]
	return h == nil || h.InForce()(version)
}

// pickInForce picks an upstream of a version in force other than except. The caller holds mu.
func (r *Router) pickInForce(now time.Time, criteria placement.Criteria, except string) (*placement.Slot, placement.PickResult) {
	criteria.AcceptsVersion = r.acceptsInForce(now, criteria.Service, except)
	return r.fleet.Pick(now, criteria)
}

// logHistory logs a history that has changed.
func (r *Router) logHistory(service string, h *trial.History, source string) {
	r.Log.Line("rollout-history").Str("service", service).Str("source", source).Str("current", h.Current()).Str("history", historyText(h)).End()
}

// historyText describes a history in a log line, such as "v2 stopped 0.24; v3 running 0.39".
func historyText(h *trial.History) string {
	var parts []string
	for _, r := range h.Records() {
		text := fmt.Sprintf("%s %s %s", r.Version, r.Latest.State, r.Latest.Order)
		if r.Completed > 0 && r.Completed != r.Latest.Order {
			text += fmt.Sprintf(" (completed %s)", r.Completed)
		}
		parts = append(parts, text)
	}
	return strings.Join(parts, "; ")
}
