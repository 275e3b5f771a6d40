package dispatch

import (
	"math"
	"slices"

	"banyanyard/core/rules"
)

// A queue holds the waiting tickets of one pool. Tickets that a caller waits
// for go before batch tickets; within a priority, organisations share the
// slots by weight, and each one's tickets leave in order of arrival.
type queue struct {
	lanes [2]lane // highest priority first
	size  int     // tickets in all lanes
}

// A lane is the tickets of one priority, by start-time fair queueing.
type lane struct {
	flows   map[string]*flow
	size    int     // tickets in all flows
	virtual float64 // start tag of the newest ticket that left
}

type flow struct {
	tickets []*Ticket
	finish  float64 // finish tag of the newest ticket that left
	start   float64 // start tag of the first waiting ticket
}

func laneOf(p rules.Priority) int {
	if p == rules.Batch {
		return 1
	}
	return 0
}

func (q *queue) push(t *Ticket) {
	l := &q.lanes[laneOf(t.Priority)]
	if l.flows == nil {
		l.flows = map[string]*flow{}
	}
	f := l.flows[t.Organisation]
	if f == nil {
		f = &flow{}
		l.flows[t.Organisation] = f
	}
	if len(f.tickets) == 0 {
		f.start = max(l.virtual, f.finish)
	}
	f.tickets = append(f.tickets, t)
	t.waiting = true
	l.size++
	q.size++
}

// ahead reports whether waiting tickets go before a new one of the priority.
func (q *queue) ahead(p rules.Priority) bool {
	for i := 0; i <= laneOf(p); i++ {
		if q.lanes[i].size > 0 {
			return true
		}
	}
	return false
}

// waitingOf returns how many tickets of the organisation wait.
func (q *queue) waitingOf(organisation string) int {
	n := 0
	for i := range q.lanes {
		if f := q.lanes[i].flows[organisation]; f != nil {
			n += len(f.tickets)
		}
	}
	return n
}

// organisations returns how many organisations have waiting tickets, counting
// the given one.
func (q *queue) organisations(organisation string) int {
	n := 1
	for i := range q.lanes {
		for name, f := range q.lanes[i].flows {
			if name != organisation && len(f.tickets) > 0 {
				n++
			}
		}
	}
	return n
}

// serve offers the tickets to grant in fair order and removes those that it
// takes. A flow whose first ticket isn't taken is passed over, so that a large
// request doesn't block other organisations.
func (q *queue) serve(grant func(*Ticket) bool) {
	for i := range q.lanes {
		q.serveLane(&q.lanes[i], grant)
	}
}

func (q *queue) serveLane(l *lane, grant func(*Ticket) bool) {
	blocked := map[*flow]bool{}
	for {
		name, f := l.next(blocked)
		if f == nil {
			return
		}
		t := f.tickets[0]
		if !grant(t) {
			blocked[f] = true
			continue
		}
		q.leave(l, name, f, t)
	}
}

func (l *lane) next(blocked map[*flow]bool) (string, *flow) {
	var first *flow
	var firstName string
	start := math.Inf(1)
	for name, f := range l.flows {
		if len(f.tickets) == 0 || blocked[f] {
			continue
		}
		if f.start < start || f.start == start && name < firstName {
			first, firstName, start = f, name, f.start
		}
	}
	return firstName, first
}

func (q *queue) leave(l *lane, name string, f *flow, t *Ticket) {
	f.tickets = f.tickets[1:]
	f.finish = f.start + 1/t.weight()
	l.virtual = max(l.virtual, f.start)
	f.start = f.finish
	l.size--
	q.size--
	if len(f.tickets) == 0 && f.finish <= l.virtual {
		delete(l.flows, name)
	}
}

// remove takes a ticket out that is no longer wanted.
func (q *queue) remove(t *Ticket) {
	l := &q.lanes[laneOf(t.Priority)]
	f := l.flows[t.Organisation]
	if f == nil {
		return
	}
	i := slices.Index(f.tickets, t)
	if i < 0 {
		return
	}
	f.tickets = slices.Delete(f.tickets, i, i+1)
	t.waiting = false
	l.size--
	q.size--
}

// each calls f for every waiting ticket.
func (q *queue) each(f func(*Ticket)) {
	for i := range q.lanes {
		for _, fl := range q.lanes[i].flows {
			for _, t := range fl.tickets {
				f(t)
			}
		}
	}
}
