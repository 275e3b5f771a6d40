package scaling

import (
	"math"
	"time"
)

const (
	// raiseMargin is the share by which the need must exceed the upstreams before more
	// are ordered. The load is then about halfway between the target and surgeLoad.
	raiseMargin = 0.25
	// maxRaise bounds what a single order asks for, as a multiple of the upstreams.
	maxRaise = 2.0
	// growth is the ratio of the need to that of one start time before from which on
	// it counts as growing.
	growth = 1.25
	// missedShare is the share of late or refused requests that calls for more
	// upstreams; half of it keeps those that there are.
	missedShare = 0.05
	// missedRaise is the share of the upstreams that is added then.
	missedRaise = 0.25
	// idleLoad is the part of the target load below which requests are late for other
	// reasons.
	idleLoad = 0.5
	// lowerMargin is kept beyond the highest need when upstreams are given back.
	lowerMargin = 0.15
	// lowerStep is the share of the upstreams that is given back at once.
	lowerStep = 0.125
	// minLowerInterval is the time between such steps, in which upstreams that leave
	// are emptied and their requests move to others.
	minLowerInterval = 3 * time.Second
)

// A Decision is an order with what it was decided by.
type Decision struct {
	Order
	Had     int           // upstreams ordered before
	Serving int           // upstreams that serve in the failure domain
	Need    float64       // upstreams needed there
	Missed  float64       // share of late or refused requests of the service
	Age     time.Duration // of the oldest demand
	Why     string
}

// Decide returns the orders to make now. They count as made.
func (p *Planner) Decide(now time.Time) []Decision {
	if !p.complete() {
		return nil
	}
	var decisions []Decision
	shares, mayLower := p.shares(now), p.mayLower(now)
	for i := range p.last.Domains {
		d := &p.last.Domains[i]
		if d.Serving == 0 || d.Out {
			continue
		}
		decision := p.decision(now, d)
		if p.raise(now, &decision, shares[d.Name]) || mayLower && p.lower(now, &decision, shares[d.Name]) || p.repeat(now, &decision) {
			p.domains[d.Name].order(decision.Upstreams)
			decisions = append(decisions, decision)
		}
	}
	return decisions
}

// Needs returns the upstreams that the demand needs in each failure domain that can serve.
func (p *Planner) Needs(now time.Time) map[string]float64 {
	needs := p.shares(now)
	for name, share := range needs {
		needs[name] = share * p.expected(now)
	}
	return needs
}

func (p *Planner) decision(now time.Time, d *Domain) Decision {
	return Decision{
		Order:   Order{Service: p.last.Service, Domain: d.Name},
		Had:     p.domains[d.Name].ordered,
		Serving: d.Serving,
		Missed:  p.missed(now),
		Age:     p.age(),
	}
}

// order records an order.
func (d *domainPlan) order(upstreams int) {
	d.ordered = upstreams
	d.own = true
	d.differs = time.Time{}
}

// raise completes the decision and reports true if more upstreams are needed.
func (p *Planner) raise(now time.Time, decision *Decision, share float64) bool {
	if !p.needs.covers(now, 2*p.last.Bounds.StartTime) {
		return false
	}
	present := decision.Had
	if p.last.RollingOut {
		present = max(present, decision.Serving) // an order counts both versions
	}
	had := float64(present)
	decision.Need = share * p.expected(now)
	wanted := 0.0
	switch {
	case decision.Need > had*(1+raiseMargin):
		wanted, decision.Why = math.Ceil(decision.Need), "demand-high"
	case present < p.last.Bounds.Min:
		wanted, decision.Why = float64(p.last.Bounds.Min), "below-minimum"
	case p.callersMiss(now, decision):
		wanted, decision.Why = math.Ceil(had*(1+missedRaise)), "requests-late"
	}
	b := &p.last.Bounds
	decision.Upstreams = min(max(int(min(wanted, had*maxRaise)), b.Min), b.Max)
	if wanted == 0 || decision.Upstreams <= present {
		return false
	}
	p.domains[decision.Domain].raised = now
	return true
}

// callersMiss reports whether callers have lacked upstreams for long enough, and the
// upstreams ordered before have had the time to help.
func (p *Planner) callersMiss(now time.Time, decision *Decision) bool {
	return !p.last.RollingOut && decision.Missed > missedShare &&
		decision.Need > idleLoad*float64(decision.Had) && now.Sub(p.domains[decision.Domain].raised) >= p.last.Bounds.lead()+p.last.Bounds.StartTime
}

// expected returns the need for which to order now. What lasts for less than a start time
// does not count. While the need grows, its newest peak counts, ahead of its median.
func (p *Planner) expected(now time.Time) float64 {
	start := p.last.Bounds.StartTime
	held := p.needs.median(now, 2*start)
	if before := p.needs.median(now.Add(-start), 2*start); before <= 0 || held < growth*before {
		return held
	}
	return max(held, p.needs.peak(now, start))
}

// mayLower reports whether upstreams may be given back at all: keeping one that is idle
// for as long as its replacement would take costs no more than to replace it.
func (p *Planner) mayLower(now time.Time) bool {
	b := &p.last.Bounds
	if p.last.RollingOut || !p.needs.covers(now, b.lead()) || now.Sub(p.lowered) < max(minLowerInterval, b.ColdTime) {
		return false
	}
	for i := range p.last.Domains {
		d := &p.last.Domains[i]
		if d.Out || d.Leaving > 0 || d.Serving == 0 && p.runsIn(d) {
			return false
		}
	}
	return p.missed(now) < missedShare/2
}

// lower completes the decision and reports true if fewer upstreams are needed.
func (p *Planner) lower(now time.Time, decision *Decision, share float64) bool {
	b := &p.last.Bounds
	decision.Need = share * p.needs.peak(now, b.lead())
	enough := max(int(math.Ceil(decision.Need*(1+lowerMargin))), b.Min)
	present := min(decision.Had, decision.Serving)
	step := max(1, int(lowerStep*float64(present)))
	decision.Upstreams, decision.Why = min(max(enough, present-step), b.Max), "demand-low"
	if decision.Upstreams >= decision.Had {
		return false
	}
	p.lowered = now
	return true
}

// repeat completes the decision and reports true if an order has not been carried out: it
// may have been lost.
func (p *Planner) repeat(now time.Time, decision *Decision) bool {
	plan := p.domains[decision.Domain]
	decision.Upstreams, decision.Why = decision.Had, "not-carried-out"
	return plan.own && p.isOverdue(now, plan)
}

// shares returns the part of the need that each usable failure domain serves: that of its
// own callers, and an equal part of what the others can't serve.
func (p *Planner) shares(now time.Time) map[string]float64 {
	shares := map[string]float64{}
	total, lost, usable := 0.0, 0.0, 0
	for i := range p.last.Domains {
		d := &p.last.Domains[i]
		// One more than there are spreads a service without requests evenly.
		demand := 1 + p.domains[d.Name].demand.median(now, 2*p.last.Bounds.StartTime)
		total += demand
		if p.usable(d) {
			usable++
			shares[d.Name] = demand
		} else {
			lost += demand
		}
	}
	for name := range shares {
		shares[name] = (shares[name] + lost/float64(usable)) / total
	}
	return shares
}

// missed returns the share of late or refused requests that has lasted.
func (p *Planner) missed(now time.Time) float64 {
	return p.misses.median(now, 2*p.last.Bounds.StartTime)
}

// age returns the age of the oldest demand.
func (p *Planner) age() time.Duration {
	age := time.Duration(0)
	for i := range p.last.Domains {
		if d := &p.last.Domains[i]; !p.isLost(d) {
			age = max(age, d.Age)
		}
	}
	return age
}
