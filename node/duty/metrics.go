package duty

import "github.com/prometheus/client_golang/prometheus"

// Metrics are the metrics of a Runner. A nil Metrics counts nothing.
type Metrics struct {
	holds prometheus.Gauge
	calls *prometheus.CounterVec // by duty and outcome
}

// NewMetrics returns metrics that are registered.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		holds: prometheus.NewGauge(prometheus.GaugeOpts{Name: "banyanyard_duty_holder", Help: "1 while this instance holds the tenure of the platform's duties."}),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "banyanyard_duty_calls_total", Help: "Calls to the platform that only the holder makes, by outcome."}, []string{"duty", "outcome"}),
	}
	registry.MustRegister(m.holds, m.calls)
	return m
}

func (m *Metrics) setHolds(holds bool) {
	if m == nil {
		return
	}
	m.holds.Set(0)
	if holds {
		m.holds.Set(1)
	}
}

func (m *Metrics) countCall(duty, outcome string) {
	if m != nil {
		m.calls.WithLabelValues(duty, outcome).Inc()
	}
}
