package exchange

import (
	"math"
	"sync"
	"time"

	"banyanyard/core/load"
	"banyanyard/core/refusal"
	"banyanyard/core/routing"
	"banyanyard/core/window"
)

// demandSpan is the time over which answers and refusals count for the demand.
const demandSpan = 2 * time.Second

// A demandMeter counts what this instance sees of the requests to the services whose
// upstreams are ordered. It is safe for concurrent use; the zero demandMeter counts nothing.
type demandMeter struct {
	mu       sync.Mutex
	services map[string]*serviceDemand // guarded by mu
}

type serviceDemand struct {
	running, reading         int
	meanRunning, meanReading float64   // averages that forget exponentially
	changed                  time.Time // up to when they are known
	answered, late, refused  window.Counter
}

// advance adds the time since the last change to the averages.
func (s *serviceDemand) advance(now time.Time) {
	if !s.changed.IsZero() {
		weight := 1 - math.Exp(-2*now.Sub(s.changed).Seconds()/demandSpan.Seconds())
		s.meanRunning += weight * (float64(s.running) - s.meanRunning)
		s.meanReading += weight * (float64(s.reading) - s.meanReading)
	}
	s.changed = now
}

// setServices sets the services whose requests count.
func (m *demandMeter) setServices(services []routing.Service) {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.services
	m.services = map[string]*serviceDemand{}
	for i := range services {
		name := services[i].Name
		switch {
		case services[i].Scaling == nil:
		case old[name] != nil:
			m.services[name] = old[name]
		default:
			span := window.Counter{Span: demandSpan}
			m.services[name] = &serviceDemand{answered: span, late: span, refused: span}
		}
	}
}

// A demandAttempt is an attempt that a demandMeter counts; nil if it counts none.
type demandAttempt struct {
	meter   *demandMeter
	service *serviceDemand
	reading bool // no first token yet
}

// begin counts an attempt until its end.
func (m *demandMeter) begin(service string) *demandAttempt {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.services[service]
	if s == nil {
		return nil
	}
	s.advance(time.Now())
	s.running++
	s.reading++
	return &demandAttempt{meter: m, service: s, reading: true}
}

// begun records that the answer has begun.
func (a *demandAttempt) begun() {
	if a == nil || !a.reading {
		return
	}
	a.meter.mu.Lock()
	defer a.meter.mu.Unlock()
	a.service.advance(time.Now())
	a.reading = false
	a.service.reading--
}

// end records the end of the attempt.
func (a *demandAttempt) end() {
	if a == nil {
		return
	}
	a.begun()
	a.meter.mu.Lock()
	defer a.meter.mu.Unlock()
	a.service.advance(time.Now())
	a.service.running--
}

// recordResult counts a request that was answered, or refused for want of an upstream.
func (m *demandMeter) recordResult(now time.Time, e *execution, refused *refusal.Error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.services[e.request.Service]
	switch {
	case s == nil:
	case !e.firstEventAt.IsZero():
		s.answered.Add(now, 1)
		if e.firstEventAt.Sub(e.request.Arrived) > e.request.Route.LatencyObjective {
			s.late.Add(now, 1)
		}
	case refused != nil && (refused.Kind == refusal.NoUpstream || refused.Kind == refusal.Overloaded || refused.Kind == refusal.DeadlineExceeded):
		s.refused.Add(now, 1)
	}
}

// demand returns the demand by service, or nil if nothing is counted.
func (m *demandMeter) demand(now time.Time) map[string]load.Demand {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.services) == 0 {
		return nil
	}
	all := map[string]load.Demand{}
	for name, s := range m.services {
		s.advance(now)
		all[name] = load.Demand{
			Running:  hundredths(s.meanRunning),
			Reading:  hundredths(s.meanReading),
			Answered: int(s.answered.Sum(now)),
			Late:     int(s.late.Sum(now)),
			Refused:  int(s.refused.Sum(now)),
		}
	}
	return all
}

// hundredths rounds to a hundredth, which keeps reports short.
func hundredths(x float64) float64 { return math.Round(100*x) / 100 }
