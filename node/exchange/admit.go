package exchange

import (
	"context"
	"math/rand/v2"
	"time"

	"banyanyard/core/admission"
	"banyanyard/core/load"
	"banyanyard/core/placement"
	"banyanyard/core/refusal"
)

// holdInterval is the time between two decisions on a request that is held.
const holdInterval = 20 * time.Millisecond

// admit returns nil when the request may be started. It holds it for a bounded time where it
// would make more urgent requests late. Only requests with a prompt are held or refused: they
// compete for upstreams whose waits are predicted.
func (e *execution) admit(ctx context.Context) error {
	if e.request.Prompt.Tokens == 0 {
		return nil
	}
	ticket, d := e.router.arrive(e)
	defer e.router.leave(e, ticket)
	for held := d.Outcome == admission.Hold; d.Outcome == admission.Hold; {
		if !e.router.AnswerBy().IsZero() {
			break // the time that is left is for answering
		}
		if err := sleep(ctx, holdInterval); err != nil {
			e.logAdmission("gone", d)
			return err
		}
		d = e.router.decide(e, ticket)
		if held && d.Outcome == admission.Take {
			e.logAdmission("held", d)
		}
	}
	if d.Outcome != admission.Refuse {
		return nil
	}
	e.logAdmission("refused", d)
	return refusal.New(refusal.NoUpstream, "send the request again after the time in Retry-After", "the upstreams of service %q cannot answer in time (%s)", e.request.Service, d.Reason).
		WithRetryAfter(d.RetryAfter)
}

// arrive records a request that arrives and decides on it.
func (r *Router) arrive(e *execution) (*admission.Ticket, admission.Decision) {
	q := e.request
	work := e.promptWork(q.Prompt.Tokens)
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	gate := r.gate(q.Service)
	ticket := gate.Arrive(now, admission.Request{
		Organisation: q.Organisation,
		Priority:     q.Priority,
		Objective:    q.Route.LatencyObjective,
		Work:         work,
		Large:        placement.IsLarge(work),
		Arrived:      q.Arrived,
		Deadline:     q.Deadline,
		Draw:         rand.Float64(),
	})
	return ticket, r.decideLocked(now, q.Service, ticket)
}

func (r *Router) decide(e *execution, t *admission.Ticket) admission.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.decideLocked(time.Now(), e.request.Service, t)
}

// decideLocked decides on a request. The caller holds mu.
func (r *Router) decideLocked(now time.Time, service string, t *admission.Ticket) admission.Decision {
	gate := r.gate(service)
	if gate.RoomsDue(now) {
		gate.SetRooms(now, admission.Rooms{Small: r.room(now, service, false), Large: r.room(now, service, true)})
	}
	return gate.Decide(now, t)
}

func (r *Router) leave(e *execution, t *admission.Ticket) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gate(e.request.Service).Leave(t)
}

// AddUse adds the recent use of organisations that this instance has seen to a sum.
func (r *Router) AddUse(s *load.Sum) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.Use = r.shares.Own(time.Now())
}

// SetUse sets the recent use by the sum of the instances of this failure domain. The other
// failure domains are taken to see the same for each of their instances.
func (r *Router) SetUse(s load.Sum) {
	if s.Instances <= 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.shares.Set(time.Now(), s.Use, max(1, float64(r.fleet.NumInstances())/float64(s.Instances)))
}

// gate returns the gate of a service. The caller holds mu.
func (r *Router) gate(service string) *admission.Gate {
	g := r.gates[service]
	if g == nil {
		g = &admission.Gate{Shares: &r.shares}
		r.gates[service] = g
	}
	return g
}

// room returns the room for small or large prompts of a service. The caller holds mu.
func (r *Router) room(now time.Time, service string, large bool) admission.Room {
	p, known := r.fleet.Room(now, service, large)
	return admission.Room{Wait: p.Wait, Shortest: p.Shortest, PerToken: p.PerToken, Spills: p.Spills, Age: p.Age, Known: known}
}

// logAdmission logs and counts a decision other than to start the request at once.
func (e *execution) logAdmission(outcome string, d admission.Decision) {
	q := e.request
	e.router.Metrics.admissions.WithLabelValues(q.Service, q.Organisation, outcome).Inc()
	e.router.Log.Line("admission").
		Str("request", q.ID).
		Str("service", q.Service).
		Str("organisation", q.Organisation).
		Str("route", q.Route.Name).
		Int("priority", int64(q.Priority)).
		Str("outcome", outcome).
		Str("reason", string(d.Reason)).
		Millis("predicted-ms", d.Predicted).
		Millis("wait-ms", d.Room.Wait).
		Millis("shortest-ms", d.Room.Shortest).
		Float("pressure", d.Pressure).
		Millis("load-age-ms", d.Room.Age).
		Millis("retry-after-ms", d.RetryAfter).
		Millis("held-ms", time.Since(q.Arrived)).
		End()
}
