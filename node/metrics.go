package node

import (
	"net/http"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Label names.
const (
	labelOrganisation = "organisation"
	labelClass        = "class"
	labelKind         = "kind"
)

// Buckets of the histograms, in seconds.
var (
	requestBuckets    = []float64{.005, .01, .025, .05, .1, .25, .5, .75, 1.1, 2, 4, 8, 16, 32, 64, 128}
	firstTokenBuckets = []float64{.005, .01, .025, .05, .1, .25, .5, .75, 1.1, 1.5, 2, 4, 8, 16}
	gapBuckets        = []float64{.001, .0025, .005, .01, .02, .03, .046, .06, .1, .25, .5, 1, 5}
)

// Metrics are the instance's metrics. Label values come from the rules alone,
// so that callers cannot create series.
type Metrics struct {
	registry       *prometheus.Registry
	request        *prometheus.HistogramVec
	firstToken     *prometheus.HistogramVec
	gap            *prometheus.HistogramVec
	refusals       *prometheus.CounterVec
	retries        *prometheus.CounterVec
	cost           *prometheus.CounterVec
	escalations    *prometheus.CounterVec
	charges        prometheus.Counter
	pendingCharges prometheus.Gauge
	revision       prometheus.Gauge
	platformErrors prometheus.Counter
	ratingFailures prometheus.Counter
	series         sync.Map // seriesKey to *series
}

func newMetrics() *Metrics {
	m := &Metrics{
		registry:       prometheus.NewRegistry(),
		request:        newHistogramVec("request_seconds", "Time from the arrival of a request to the end of its answer.", requestBuckets),
		firstToken:     newHistogramVec("first_token_seconds", "Time from the arrival of a request to the first piece of its answer.", firstTokenBuckets),
		gap:            newHistogramVec("between_tokens_seconds", "Time between two pieces of a stream.", gapBuckets),
		refusals:       newCounterVec("refusals_total", "Requests that were not answered, by kind of refusal.", labelOrganisation, labelKind),
		retries:        newCounterVec("retries_total", "Attempts after the first.", labelOrganisation),
		cost:           newCounterVec("cost_total", "Cost of answers, in millionths of a cost unit.", labelOrganisation, labelClass),
		escalations:    newCounterVec("escalations_total", "Answers of a cheaper model that did not suffice.", labelOrganisation, labelClass),
		charges:        prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "charges_total", Help: "Charges made."}),
		pendingCharges: prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "pending_charges", Help: "Charges that are not written to the table."}),
		revision:       prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "revision", Help: "Revision of the rules in force."}),
		platformErrors: prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "platform_errors_total", Help: "Looks at the platform that failed."}),
	}
	m.ratingFailures = prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "unrated_total", Help: "Answers that waited for a rating in vain and went to the next model."})
	m.registry.MustRegister(m.ratingFailures, m.request, m.firstToken, m.gap, m.refusals, m.retries, m.cost, m.escalations, m.charges, m.pendingCharges, m.revision, m.platformErrors)
	return m
}

// A series holds the metrics of one organisation and class.
type series struct {
	request     prometheus.Observer
	firstToken  prometheus.Observer
	gap         prometheus.Observer
	cost        prometheus.Counter
	escalations prometheus.Counter
}

type seriesKey struct{ organisation, class string }

// forClass returns the series of an organisation and class. Both come from the
// rules, so that the number of series is bounded. It is safe for concurrent
// use.
func (m *Metrics) forClass(organisation, class string) *series {
	key := seriesKey{organisation, class}
	if s, ok := m.series.Load(key); ok {
		return s.(*series)
	}
	s, _ := m.series.LoadOrStore(key, &series{
		request:     m.request.WithLabelValues(organisation, class),
		firstToken:  m.firstToken.WithLabelValues(organisation, class),
		gap:         m.gap.WithLabelValues(organisation, class),
		cost:        m.cost.WithLabelValues(organisation, class),
		escalations: m.escalations.WithLabelValues(organisation, class),
	})
	return s.(*series)
}

const namespace = "banyanyard"

func newHistogramVec(name, help string, buckets []float64) *prometheus.HistogramVec {
	opts := prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets}
	return prometheus.NewHistogramVec(opts, []string{labelOrganisation, labelClass})
}

func newCounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

// MetricsHandler returns a handler that serves the metrics in Prometheus
// format.
func (n *Node) MetricsHandler() http.Handler {
	return promhttp.HandlerFor(n.metrics.registry, promhttp.HandlerOpts{})
}
