package exchange

import (
	"math"
	"strconv"
	"time"

	"banyanyard/core/placement"
	"banyanyard/core/refusal"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
)

// Metrics are the counters and histograms of a Router. Create them with
// NewMetrics.
type Metrics struct {
	Registry *prometheus.Registry

	requests    *prometheus.HistogramVec // seconds, by organisation and route
	firstEvent  *prometheus.HistogramVec // seconds to the first event, by route
	attempts    *prometheus.CounterVec   // by service and outcome
	escalations *prometheus.CounterVec   // decisions on larger models, by service and reason
	refusals    *prometheus.CounterVec   // by kind
	connections prometheus.Counter
	tunnels     *prometheus.CounterVec // connections opened for other instances, by outcome
	// unpublished counts entries for other instances that did not fit the queue.
	unpublished prometheus.Counter
}

// latencyBuckets are in seconds, from a call to a plain service to a long stream.
var latencyBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1, 1.5, 3, 5, 10, 25}

// NewMetrics returns metrics that are registered in a new registry.
func NewMetrics() *Metrics {
	m := &Metrics{
		Registry:    prometheus.NewRegistry(),
		requests:    prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "banyanyard_request_seconds", Help: "Time from a request's arrival to the end of its answer.", Buckets: latencyBuckets}, []string{"organisation", "route"}),
		firstEvent:  prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "banyanyard_first_event_seconds", Help: "Time from a request's arrival to the first event or the answer.", Buckets: latencyBuckets}, []string{"route"}),
		attempts:    prometheus.NewCounterVec(prometheus.CounterOpts{Name: "banyanyard_attempts_total", Help: "Attempts at upstreams by outcome."}, []string{"service", "outcome"}),
		refusals:    prometheus.NewCounterVec(prometheus.CounterOpts{Name: "banyanyard_refusals_total", Help: "Requests that were not answered, by kind."}, []string{"kind"}),
		escalations: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "banyanyard_escalation_decisions_total", Help: "Decisions whether a larger model is asked, by reason."}, []string{"service", "reason"}),
		connections: prometheus.NewCounter(prometheus.CounterOpts{Name: "banyanyard_connections_opened_total", Help: "Connections opened to upstreams."}),
		tunnels:     prometheus.NewCounterVec(prometheus.CounterOpts{Name: "banyanyard_tunnels_total", Help: "Connections to upstreams opened for other instances, by outcome."}, []string{"outcome"}),
		unpublished: prometheus.NewCounter(prometheus.CounterOpts{Name: "banyanyard_entries_dropped_total", Help: "Gossip entries dropped because the queue was full."}),
	}
	m.Registry.MustRegister(m.requests, m.firstEvent, m.attempts, m.escalations, m.refusals, m.connections, m.tunnels, m.unpublished)
	return m
}

// CountConnection counts a connection opened to an upstream.
func (m *Metrics) CountConnection() { m.connections.Inc() }

// CountTunnel counts a connection to an upstream that was opened, or not, for another
// instance.
func (m *Metrics) CountTunnel(outcome string) { m.tunnels.WithLabelValues(outcome).Inc() }

func (e *execution) logAttempt(slot *placement.Slot, result attemptResult) {
	e.router.Metrics.attempts.WithLabelValues(e.request.Service, result.outcome.String()).Inc()
	line := e.router.Log.Line("attempt").
		Str("request", e.request.ID).
		Str("service", e.request.Service).
		Str("upstream", slot.Upstream.ID).
		Str("domain", slot.Upstream.FailureDomain).
		Str("version", slot.Upstream.Version).
		Int("running", int64(slot.Running)).
		Bool("cold", slot.Cold).
		Str("outcome", result.outcome.String()).
		Int("status", int64(result.status)).
		Millis("took-ms", result.took)
	if result.detour != nil {
		line.Str("through", result.detour.Peer.Instance)
	}
	if slot.Load >= 0 {
		line.Int("load", int64(math.Round(slot.Load))).Millis("load-age-ms", slot.LoadAge)
	}
	if len(e.models) > 0 {
		e.logModel(line, result)
	}
	if result.eventGap > 0 {
		line.Millis("pace-ms", result.eventGap)
	}
	if result.limit > 0 {
		line.Str("limit", strconv.FormatFloat(result.limit, 'g', 6, 64))
	}
	if result.outcome == placement.Broken {
		line.Str("prompt-parts", e.request.Prompt.PartIDs()).Millis("writing-ms", result.writing)
	}
	line.Str("after", e.lastEventID).Err(result.err).End()
}

// recordResult logs and counts the result of the request.
func (e *execution) recordResult(err error) {
	q := e.request
	now := time.Now()
	outcome := "answered"
	var refused *refusal.Error
	switch {
	case err == nil && e.failure != nil && !e.streamBegun.Load():
		outcome = "upstream-failure"
	case err == nil:
	case errors.Is(err, ErrNotDelivered):
		outcome = "not-delivered"
	case errors.Is(err, ErrCallerLeft):
		outcome = "caller-left"
	case errors.Is(err, ErrTruncated):
		outcome = "cut"
	case errors.As(err, &refused):
		outcome = string(refused.Kind)
		e.router.Metrics.refusals.WithLabelValues(outcome).Inc()
	default:
		outcome = "failed"
	}
	e.router.demands.recordResult(now, e, refused)
	e.router.Metrics.requests.WithLabelValues(q.Organisation, q.Route.Name).Observe(now.Sub(q.Arrived).Seconds())
	line := e.router.Log.Line("request").
		Str("request", q.ID).
		Str("organisation", q.Organisation).
		Str("session", q.Session).
		Str("route", q.Route.Name).
		Str("kind", q.Route.Kind.String()).
		Int("config-version", q.TableVersion).
		Str("outcome", outcome).
		Int("attempts", int64(e.attempts)).
		Bool("may-have-run", e.mayHaveRun).
		Millis("took-ms", now.Sub(q.Arrived)).
		Millis("left-ms", q.Deadline.Sub(now))
	if !e.firstEventAt.IsZero() {
		e.router.Metrics.firstEvent.WithLabelValues(q.Route.Name).Observe(e.firstEventAt.Sub(q.Arrived).Seconds())
		line.Millis("first-ms", e.firstEventAt.Sub(q.Arrived))
	}
	line.Err(err).End()
}

// LogRefusal logs a request that was refused before it was admitted.
func (r *Router) LogRefusal(id, path string, e *refusal.Error) {
	r.Metrics.refusals.WithLabelValues(string(e.Kind)).Inc()
	version := int64(0)
	if t := r.table.Load(); t != nil {
		version = t.Version
	}
	line := r.Log.Line("request").Str("request", id).Str("path", path).Int("config-version", version).Str("outcome", string(e.Kind))
	if r.RowsAge != nil {
		line.Millis("rows-age-ms", r.RowsAge())
	}
	line.Err(e).End()
}
