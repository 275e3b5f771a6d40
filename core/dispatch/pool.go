package dispatch

import (
	"time"

	"banyanyard/core/refusal"
	"banyanyard/core/rules"
)

// A pool holds the upstreams and the queue of one PoolKey.
type pool struct {
	local        []*upstream // in service, in this instance's failure domain
	remote       []*upstream // in service, in other failure domains
	withoutShare []*upstream // in service, but this instance has no share
	queue        queue
	usage        usage
	avgHoldTime  time.Duration // moving average of the time for which a slot is held
}

func (p *pool) addUpstream(u *upstream, local bool) {
	switch {
	case u.share.Requests == 0:
		p.withoutShare = append(p.withoutShare, u)
	case local:
		p.local = append(p.local, u)
	default:
		p.remote = append(p.remote, u)
	}
}

// upstreamCount returns the number of upstreams in service.
func (p *pool) upstreamCount() int { return len(p.local) + len(p.remote) + len(p.withoutShare) }

// poolKeysOf returns the keys of the pools that an upstream belongs to.
func poolKeysOf(u *rules.Upstream) []PoolKey {
	if u.Service != "" {
		return []PoolKey{{Service: u.Service}}
	}
	pools := make([]PoolKey, 0, len(u.Serves))
	for _, s := range u.Serves {
		pools = append(pools, PoolKey{Target: rules.ParseTarget(s)})
	}
	return pools
}

func poolName(p PoolKey) string {
	if p.Service != "" {
		return p.Service
	}
	return p.Target.String()
}

// mayBypassQueue reports whether a new ticket may be granted before the waiting
// ones: none is ahead of it, or it is interactive and its organisation is below
// its fair share and has no waiting ticket.
func (p *pool) mayBypassQueue(t *Ticket) bool {
	if !p.queue.anyAhead(t.Priority) {
		return true
	}
	return t.Priority != rules.Batch && p.usage.belowFairShare(t.Organisation) && p.queue.waitingCount(t.Organisation) == 0
}

// checkReachable returns a refusal if every upstream is in backoff.
func (p *pool) checkReachable(now time.Time, t *Ticket) error {
	var retryAt time.Time
	for _, us := range [...][]*upstream{p.local, p.remote, p.withoutShare} {
		for _, u := range us {
			if !now.Before(u.backoffUntil) {
				return nil
			}
			if retryAt.IsZero() || u.backoffUntil.Before(retryAt) {
				retryAt = u.backoffUntil
			}
		}
	}
	return refusal.New(refusal.NoUpstream,
		"send the request again after the time in Retry-After",
		"no upstream of %q is reachable", poolName(t.Pool)).WithRetryAfter(max(retryAt.Sub(now), time.Second))
}

// checkQueueLimit returns a refusal if the organisation's part of the queue is
// full or the estimated wait exceeds the ticket's deadline. Each organisation
// has an equal part of the queue, so that one can't fill it for the others.
func (p *pool) checkQueueLimit(now time.Time, t *Ticket) error {
	slots := p.capacity()
	organisations := p.queue.organisationCount(t.Organisation)
	own := p.queue.waitingCount(t.Organisation)
	wait := time.Duration(int64(p.avgHoldTime) * int64(own*organisations) / int64(max(slots, 1)))
	part := max(minQueueLimit, queueLengthPerSlot*slots) / organisations
	if own >= max(part, 1) {
		return overloadedError(t, wait)
	}
	if !t.Deadline.IsZero() && now.Add(wait).After(t.Deadline) {
		return overloadedError(t, wait)
	}
	return nil
}

func overloadedError(t *Ticket, wait time.Duration) error {
	return refusal.New(refusal.Overloaded,
		"send the request again after the time in Retry-After",
		"too many requests are waiting for %q", poolName(t.Pool)).WithRetryAfter(max(wait, time.Second))
}

// capacity returns the number of slots that this instance may hold now.
func (p *pool) capacity() int {
	n := 0
	for _, u := range p.local {
		n += u.limit()
	}
	for _, u := range p.remote {
		n += u.limit()
	}
	return n
}

// canIsolateSuspects reports whether this instance has the first rank at a
// reachable upstream, where a suspect can run without others beside it.
func (p *pool) canIsolateSuspects(now time.Time) bool {
	return p.findUpstream(func(u *upstream) bool { return u.firstRank && !now.Before(u.backoffUntil) }) != nil
}

// pickIsolated returns an upstream where the ticket would be the only suspect
// across all instances, or nil.
func (p *pool) pickIsolated(now time.Time, t *Ticket) *upstream {
	return p.findUpstream(func(u *upstream) bool { return u.firstRank && u.canTake(now, t) })
}

// findUpstream returns the first upstream with a share for which ok is true, or
// nil. Local upstreams come first.
func (p *pool) findUpstream(ok func(*upstream) bool) *upstream {
	for _, us := range [...][]*upstream{p.local, p.remote} {
		for _, u := range us {
			if ok(u) {
				return u
			}
		}
	}
	return nil
}

// pickByID returns the upstream with the identifier if it can take the ticket,
// or nil.
func (p *pool) pickByID(now time.Time, t *Ticket, id string) *upstream {
	if id == "" {
		return nil
	}
	return p.findUpstream(func(u *upstream) bool { return u.rule.ID == id && u.canTake(now, t) })
}

// firstFree returns the first upstream that can take the ticket, or nil. It
// scans all of them from the index start and skips AvoidUpstream.
func firstFree(now time.Time, us []*upstream, t *Ticket, start int) *upstream {
	for i := range us {
		u := us[(start+i)%len(us)]
		if u.rule.ID != t.AvoidUpstream && u.canTake(now, t) {
			return u
		}
	}
	return nil
}
