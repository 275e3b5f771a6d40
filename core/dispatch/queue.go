package dispatch

import (
	"math"
	"slices"

	"banyanyard/core/rules"
)

// A queue holds the waiting tickets of one pool. Interactive tickets, which a
// caller waits for, go before batch tickets; within a priority, organisations
// share the slots by weight, and each one's tickets leave in order of arrival.
type queue struct {
	byPriority [2]fairQueue // highest priority first; see priorityIndex
	size       int          // tickets of all priorities
}

// A fairQueue holds the tickets of one priority and orders them by start-time
// fair queueing.
type fairQueue struct {
	flows       map[string]*flow // by organisation
	size        int              // tickets in all flows
	virtualTime float64          // start tag of the newest ticket that left
}

// A flow holds the waiting tickets of one organisation.
type flow struct {
	tickets []*Ticket
	finish  float64 // finish tag of the newest ticket that left
	start   float64 // start tag of the first waiting ticket
}

func priorityIndex(p rules.Priority) int {
	if p == rules.Batch {
		return 1
	}
	return 0
}

func (q *queue) push(t *Ticket) {
	fq := &q.byPriority[priorityIndex(t.Priority)]
	if fq.flows == nil {
		fq.flows = map[string]*flow{}
	}
	f := fq.flows[t.Organisation]
	if f == nil {
		f = &flow{}
		fq.flows[t.Organisation] = f
	}
	if len(f.tickets) == 0 {
		f.start = max(fq.virtualTime, f.finish)
	}
	f.tickets = append(f.tickets, t)
	t.waiting = true
	fq.size++
	q.size++
}

// anyAhead reports whether waiting tickets are served before a new ticket of the
// priority.
func (q *queue) anyAhead(p rules.Priority) bool {
	for i := 0; i <= priorityIndex(p); i++ {
		if q.byPriority[i].size > 0 {
			return true
		}
	}
	return false
}

// waitingCount returns the number of waiting tickets of the organisation.
func (q *queue) waitingCount(organisation string) int {
	n := 0
	for i := range q.byPriority {
		if f := q.byPriority[i].flows[organisation]; f != nil {
			n += len(f.tickets)
		}
	}
	return n
}

// organisationCount returns the number of organisations with waiting tickets,
// always counting the given one.
func (q *queue) organisationCount(organisation string) int {
	n := 1
	for i := range q.byPriority {
		for name, f := range q.byPriority[i].flows {
			if name != organisation && len(f.tickets) > 0 {
				n++
			}
		}
	}
	return n
}

// serve calls grant for waiting tickets in fair order and removes those for
// which it returns true. A flow whose first ticket isn't granted is skipped, so
// that a large request doesn't block other organisations.
func (q *queue) serve(grant func(*Ticket) bool) {
	for i := range q.byPriority {
		q.serveFairQueue(&q.byPriority[i], grant)
	}
}

func (q *queue) serveFairQueue(fq *fairQueue, grant func(*Ticket) bool) {
	blocked := map[*flow]bool{}
	for {
		name, f := fq.next(blocked)
		if f == nil {
			return
		}
		t := f.tickets[0]
		if !grant(t) {
			blocked[f] = true
			continue
		}
		q.dequeue(fq, name, f, t)
	}
}

// next returns the organisation and the flow that is served next, leaving out
// the blocked ones. The flow is nil if there is none. Equal start tags are
// ordered by organisation, so that the order is deterministic.
func (fq *fairQueue) next(blocked map[*flow]bool) (string, *flow) {
	var first *flow
	var firstName string
	start := math.Inf(1)
	for name, f := range fq.flows {
		if len(f.tickets) == 0 || blocked[f] {
			continue
		}
		if f.start < start || f.start == start && name < firstName {
			first, firstName, start = f, name, f.start
		}
	}
	return firstName, first
}

// dequeue removes the first ticket of a flow after its grant and updates the
// tags.
func (q *queue) dequeue(fq *fairQueue, name string, f *flow, t *Ticket) {
	f.tickets = f.tickets[1:]
	f.finish = f.start + 1/t.weight()
	fq.virtualTime = max(fq.virtualTime, f.start)
	f.start = f.finish
	fq.size--
	q.size--
	if len(f.tickets) == 0 && f.finish <= fq.virtualTime {
		delete(fq.flows, name)
	}
}

// remove removes a waiting ticket that was cancelled or refused.
func (q *queue) remove(t *Ticket) {
	fq := &q.byPriority[priorityIndex(t.Priority)]
	f := fq.flows[t.Organisation]
	if f == nil {
		return
	}
	i := slices.Index(f.tickets, t)
	if i < 0 {
		return
	}
	f.tickets = slices.Delete(f.tickets, i, i+1)
	t.waiting = false
	fq.size--
	q.size--
}

// each calls f for every waiting ticket.
func (q *queue) each(f func(*Ticket)) {
	for i := range q.byPriority {
		for _, fl := range q.byPriority[i].flows {
			for _, t := range fl.tickets {
				f(t)
			}
		}
	}
}
