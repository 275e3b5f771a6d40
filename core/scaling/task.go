package scaling

import (
	"cmp"
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
	// minBackoff and maxBackoff bound the time until an order is sent again whose outcome
	// is a failure or unknown. It doubles with each further one.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 8 * time.Second
)

// A Source tells the state of the services whose upstreams are ordered.
type Source interface {
	Views(now time.Time) []View
}

// An Outcome is what became of a call that sent an order.
type Outcome struct {
	Decision
	Err      error // nil if the platform accepted it
	Attempts int   // calls with this order so far
}

// A Task is the duty of ordering upstreams; it implements duty.Task. Repeated orders ask
// for the same number, so that a call whose outcome is unknown is sent again.
type Task struct {
	Source Source
	// Record takes the outcome of each call; nil if nobody wants it. It must not block.
	Record func(now time.Time, o Outcome)

	planners map[string]*Planner // by service
	pending  map[string]*sending // by subject
	called   time.Time           // when Next was last called
	observed time.Time           // when the services were last looked at
}

// A sending is an order that the platform has not accepted yet.
type sending struct {
	decision Decision
	attempts int       // calls so far
	due      time.Time // no call before this time
}

// Next implements duty.Task.
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
	return t.calls(now)
}

func (t *Task) observe(now time.Time) {
	for _, v := range t.Source.Views(now) {
		p := t.planners[v.Service]
		if p == nil {
			p = &Planner{}
			t.planners[v.Service] = p
		}
		p.Observe(now, v)
		for _, d := range p.Decide(now) {
			t.put(d)
		}
	}
}

// put replaces what was to be sent about the subject. A call in progress with the older
// order ends first.
func (t *Task) put(d Decision) {
	s := &sending{decision: d}
	if old := t.pending[d.subject()]; old != nil {
		s.due = old.due
	}
	t.pending[d.subject()] = s
}

// calls returns the orders that are due, and sets when each of them is due again if its
// outcome stays unknown.
func (t *Task) calls(now time.Time) []duty.Call {
	var calls []duty.Call
	for subject, s := range t.pending {
		if now.Before(s.due) {
			continue
		}
		s.attempts++
		s.due = now.Add(callTimeout + s.backoff())
		calls = append(calls, duty.Call{Duty: DutyName, Subject: subject, Body: s.decision.Order, Timeout: callTimeout})
	}
	slices.SortFunc(calls, func(a, b duty.Call) int { return cmp.Compare(a.Subject, b.Subject) })
	return calls
}

// Done implements duty.Task.
func (t *Task) Done(now time.Time, c duty.Call, err error) {
	s := t.pending[c.Subject]
	if s == nil || s.decision.Order != c.Body {
		return
	}
	if t.Record != nil {
		t.Record(now, Outcome{Decision: s.decision, Err: err, Attempts: s.attempts})
	}
	if err == nil {
		delete(t.pending, c.Subject)
		return
	}
	s.due = now.Add(s.backoff())
}

func (s *sending) backoff() time.Duration {
	return min(minBackoff<<min(s.attempts, 8), maxBackoff)
}

// subject returns the subject of calls with the order.
func (o *Order) subject() string { return o.Service + "/" + o.Domain }
