package scaling

import (
	"time"

	"banyanyard/core/load"
)

const (
	// maxAge is the age up to which the demand of a failure domain is used.
	maxAge = 3 * time.Second
	// maxGap is the longest time between two observations of one holder.
	maxGap = 3 * time.Second
)

// A Planner decides on the orders for one service. The zero Planner has seen nothing.
type Planner struct {
	last    View
	at      time.Time // of last
	needs   history   // upstreams needed in all failure domains
	misses  history   // share of late or refused requests
	domains map[string]*domainPlan
	lowered time.Time // when fewer upstreams were ordered last
}

// A domainPlan is what a Planner keeps for a failure domain.
type domainPlan struct {
	// ordered is the number of upstreams that this holder ordered last. Before its first
	// order it is the number that served, with those that have gone lately: their
	// successors may be starting.
	ordered int
	own     bool      // this holder has made an order
	raised  time.Time // when it ordered more upstreams last
	demand  history   // attempts in progress
	missing time.Time // since when the domain has no upstreams; zero if it has
	differs time.Time // since when other than the ordered number serve; zero if they don't
}

// Observe takes the state of the service. A planner that has not observed for a while
// starts anew: another holder may have made orders.
func (p *Planner) Observe(now time.Time, v View) {
	if !p.at.IsZero() && now.Sub(p.at) > maxGap {
		*p = Planner{}
	}
	if p.domains == nil {
		p.domains = map[string]*domainPlan{}
	}
	p.last, p.at = v, now
	total, serving, domains := load.Demand{}, 0, 0
	for i := range v.Domains {
		d := &v.Domains[i]
		p.observeDomain(now, d)
		if d.Age <= maxAge {
			total = total.Plus(d.Demand)
		}
		if !d.Out {
			// Upstreams that run alongside for a roll-out take over the load of others.
			serving += min(d.Serving, p.domains[d.Name].ordered)
		}
		if p.runsIn(d) {
			domains++
		}
	}
	if !p.complete() {
		return
	}
	span := bucketSpan(v.Bounds.StartTime)
	p.needs.add(now, span, need(total, v.Slots, float64(serving), targetLoad(domains)))
	p.misses.add(now, span, missed(total))
}

func (p *Planner) observeDomain(now time.Time, d *Domain) {
	plan := p.domains[d.Name]
	if plan == nil {
		plan = &domainPlan{}
		p.domains[d.Name] = plan
	}
	setSince(&plan.missing, now, d.Serving == 0)
	setSince(&plan.differs, now, d.Serving < plan.ordered || d.Serving > plan.ordered && !p.last.RollingOut)
	if !plan.own && !d.Out && (plan.ordered == 0 || !p.last.RollingOut) && (d.Serving > plan.ordered || p.isOverdue(now, plan)) {
		plan.ordered = d.Serving
	}
	if d.Age <= maxAge {
		plan.demand.add(now, bucketSpan(p.last.Bounds.StartTime), d.Demand.Running)
	}
}

// runsIn reports whether the service has or had upstreams in the failure domain.
func (p *Planner) runsIn(d *Domain) bool { return p.domains[d.Name].ordered > 0 }

// isOverdue reports whether the upstreams of the failure domain have differed from the order
// for longer than starts and stops take.
func (p *Planner) isOverdue(now time.Time, plan *domainPlan) bool {
	return !plan.differs.IsZero() && now.Sub(plan.differs) > 2*p.last.Bounds.lead()
}

// setSince keeps the time since when a condition holds, or zero if it does not.
func setSince(since *time.Time, now time.Time, holds bool) {
	switch {
	case !holds:
		*since = time.Time{}
	case since.IsZero():
		*since = now
	}
}

// complete reports whether the demand of all failure domains is known. That of one that
// has been lost comes to the others.
func (p *Planner) complete() bool {
	for i := range p.last.Domains {
		d := &p.last.Domains[i]
		if d.Age > maxAge && !p.isLost(d) {
			return false
		}
	}
	return len(p.last.Domains) > 0
}

// isLost reports whether the upstreams of the failure domain have been missing for a start
// time: registrations can lapse for a moment.
func (p *Planner) isLost(d *Domain) bool {
	missing := p.domains[d.Name].missing
	return !missing.IsZero() && p.at.Sub(missing) >= p.last.Bounds.StartTime
}

// usable reports whether requests can be served in the failure domain.
func (p *Planner) usable(d *Domain) bool { return p.runsIn(d) && !d.Out && !p.isLost(d) }
