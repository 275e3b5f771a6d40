package dispatch

import (
	"time"

	"banyanyard/core/refusal"
	"banyanyard/core/rules"
)

// A pool is the upstreams and the queue for one Pool.
type pool struct {
	near  []*upstream // of this instance's failure domain, in service
	far   []*upstream // of the others, in service
	other []*upstream // in service, but without a share of this instance
	queue queue
	usage usage
	hold  time.Duration // moving average of the time that a slot is held
}

func (p *pool) add(u *upstream, near bool) {
	switch {
	case u.share.Requests == 0:
		p.other = append(p.other, u)
	case near:
		p.near = append(p.near, u)
	default:
		p.far = append(p.far, u)
	}
}

// upstreams returns the number of upstreams in service.
func (p *pool) upstreams() int { return len(p.near) + len(p.far) + len(p.other) }

func poolsOf(u *rules.Upstream) []Pool {
	if u.Service != "" {
		return []Pool{{Service: u.Service}}
	}
	pools := make([]Pool, 0, len(u.Serves))
	for _, s := range u.Serves {
		pools = append(pools, Pool{Target: rules.ParseTarget(s)})
	}
	return pools
}

func poolName(p Pool) string {
	if p.Service != "" {
		return p.Service
	}
	return p.Target.String()
}

// atOnce reports whether a ticket may be granted before those that wait.
func (p *pool) atOnce(t *Ticket) bool {
	if !p.queue.ahead(t.Priority) {
		return true
	}
	return t.Priority != rules.Batch && p.usage.below(t.Organisation) && p.queue.waitingOf(t.Organisation) == 0
}

// down refuses a ticket when every upstream is unreachable.
func (p *pool) down(now time.Time, t *Ticket) error {
	var up time.Time
	for _, us := range [...][]*upstream{p.near, p.far, p.other} {
		for _, u := range us {
			if !now.Before(u.downUntil) {
				return nil
			}
			if up.IsZero() || u.downUntil.Before(up) {
				up = u.downUntil
			}
		}
	}
	return refusal.New(refusal.NoUpstream,
		"send the request again after the time in Retry-After",
		"no upstream of %q can be reached", poolName(t.Pool)).WithRetryAfter(max(up.Sub(now), time.Second))
}

// full refuses a ticket that would wait too long. Each organisation has its own
// part of the queue, so that one which floods it leaves room for the others.
func (p *pool) full(now time.Time, t *Ticket) error {
	slots := p.slots()
	organisations := p.queue.organisations(t.Organisation)
	own := p.queue.waitingOf(t.Organisation)
	wait := time.Duration(int64(p.hold) * int64(own*organisations) / int64(max(slots, 1)))
	part := max(minWaiting, waitingPerSlot*slots) / organisations
	if own >= max(part, 1) {
		return overloaded(t, wait)
	}
	if !t.Deadline.IsZero() && now.Add(wait).After(t.Deadline) {
		return overloaded(t, wait)
	}
	return nil
}

func overloaded(t *Ticket, wait time.Duration) error {
	return refusal.New(refusal.Overloaded,
		"send the request again after the time in Retry-After",
		"too many requests wait for %q", poolName(t.Pool)).WithRetryAfter(max(wait, time.Second))
}

func (p *pool) slots() int {
	n := 0
	for _, u := range p.near {
		n += u.limit()
	}
	for _, u := range p.far {
		n += u.limit()
	}
	return n
}

// hasFirst reports whether this instance may run suspects apart from all others
// at some upstream.
func (p *pool) hasFirst(now time.Time) bool {
	return p.find(func(u *upstream) bool { return u.first && !now.Before(u.downUntil) }) != nil
}

// apart returns an upstream where the ticket is the only suspect of all
// instances.
func (p *pool) apart(now time.Time, t *Ticket) *upstream {
	return p.find(func(u *upstream) bool { return u.first && u.free(now, t) })
}

func (p *pool) find(ok func(*upstream) bool) *upstream {
	for _, us := range [...][]*upstream{p.near, p.far} {
		for _, u := range us {
			if ok(u) {
				return u
			}
		}
	}
	return nil
}

// named returns the upstream with the identifier when it can take the ticket.
func (p *pool) named(now time.Time, t *Ticket, id string) *upstream {
	if id == "" {
		return nil
	}
	return p.find(func(u *upstream) bool { return u.rule.ID == id && u.free(now, t) })
}

// firstFree scans all upstreams from a random start.
func firstFree(now time.Time, us []*upstream, t *Ticket, start int) *upstream {
	for i := range us {
		u := us[(start+i)%len(us)]
		if u.rule.ID != t.Avoid && u.free(now, t) {
			return u
		}
	}
	return nil
}
