package scaling

import (
	"maps"
	"slices"
	"time"

	"banyanyard/core/duty"
)

const (
	// DutyName is the name of the duty in calls.
	DutyName = "scale"
	// observeInterval is the time between two looks at a service.
	observeInterval = 500 * time.Millisecond
	// callTimeout bounds a call to the platform.
	callTimeout = time.Second
)

// A Source tells the state of the services whose upstreams are ordered.
type Source interface {
	Views(now time.Time) []View
}

// An Outcome is what became of a call that sent an order.
type Outcome struct {
	Decision
	Err      error // nil if the platform accepted it
	Attempts int   // calls with this order that have ended
}

// A Task is the duty of ordering upstreams; it implements duty.Task. Orders that are
// repeated ask for the same number, so that a call whose outcome is unknown is made again.
type Task struct {
	Source Source
	// Record takes the outcome of each call, and Watch the upstreams that a service needs by
	// failure domain; nil if nobody wants them. They must not block.
	Record func(o Outcome)
	Watch  func(service string, needs map[string]float64)

	planners map[string]*Planner // by service
	pending  map[string]*sending // by subject
	called   time.Time           // when Next was last called
	observed time.Time           // when the services were last looked at
}

// A sending is an order that the platform has not accepted yet.
type sending struct {
	decision Decision
	attempts int // calls that have ended
}

// Next implements duty.Task. Whoever makes the calls leaves out those about a subject that
// has one in progress or has to wait.
func (t *Task) Next(now time.Time) []duty.Call {
	if t.planners == nil || now.Sub(t.called) > maxGap {
		t.planners = map[string]*Planner{}
		t.pending = map[string]*sending{}
	}
	t.called = now
	if now.Sub(t.observed) >= observeInterval {
		t.observed = now
		t.observe(now)
	}
	var calls []duty.Call
	for _, subject := range slices.Sorted(maps.Keys(t.pending)) {
		calls = append(calls, duty.Call{Duty: DutyName, Subject: subject, Body: t.pending[subject].decision.Order, Timeout: callTimeout})
	}
	return calls
}

// observe looks at the services. A new order replaces one that has not been accepted.
func (t *Task) observe(now time.Time) {
	for _, v := range t.Source.Views(now) {
		p := t.planners[v.Service]
		if p == nil {
			p = &Planner{}
			t.planners[v.Service] = p
		}
		p.Observe(now, v)
		for _, d := range p.Decide(now) {
			t.pending[d.subject()] = &sending{decision: d}
		}
		if t.Watch != nil {
			t.Watch(v.Service, p.Needs(now))
		}
	}
}

// Done implements duty.Task.
func (t *Task) Done(_ time.Time, c duty.Call, err error) {
	s := t.pending[c.Subject]
	if s == nil || s.decision.Order != c.Body {
		return
	}
	s.attempts++
	if t.Record != nil {
		t.Record(Outcome{Decision: s.decision, Err: err, Attempts: s.attempts})
	}
	if err == nil {
		delete(t.pending, c.Subject)
	}
}

// subject returns the subject of calls with the order.
func (o *Order) subject() string { return o.Service + "/" + o.Domain }
