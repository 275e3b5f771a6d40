package dispatch

import (
	"math/rand/v2"
	"time"

	"banyanyard/core/refusal"
	"banyanyard/core/resolver"
	"banyanyard/core/rules"
	"banyanyard/core/slot"
)

// queueLengthPerSlot is the number of tickets per slot that may wait in a pool.
const queueLengthPerSlot = 8

// minQueueLimit is the least bound on the length of a pool's queue, in tickets.
const minQueueLimit = 16

// initialHoldTime is the assumed time for which a request holds its slot, until
// the first slot of the pool is released.
const initialHoldTime = time.Second

// holdTimeWeight is the weight of the newest sample in the moving average of
// hold times.
const holdTimeWeight = 0.1

// Shares gives this instance's part of each upstream's limits.
type Shares interface {
	// Of returns the share of an upstream, which is zero for an unknown one.
	Of(upstream string) slot.Share
	// HasFirstRank reports whether this instance has the first rank at the
	// upstream. No other instance has it at the same time, so that a suspect
	// granted by this one can't run beside a suspect of another.
	HasFirstRank(upstream string) bool
}

// A Dispatcher grants this instance's slots to tickets.
type Dispatcher struct {
	domain    string // failure domain of this instance
	rules     *rules.Set
	upstreams map[string]*upstream
	pools     map[PoolKey]*pool
	random    *rand.Rand
}

// New returns a Dispatcher without rules for an instance in the failure domain.
// The seed determines its random choices among upstreams.
func New(domain string, seed uint64) *Dispatcher {
	return &Dispatcher{
		domain:    domain,
		upstreams: map[string]*upstream{},
		pools:     map[PoolKey]*pool{},
		random:    rand.New(rand.NewPCG(seed, seed)),
	}
}

// Update replaces the rules and the shares. It refuses the waiting tickets that
// the new rules don't allow, and grants slots to those that fit.
func (d *Dispatcher) Update(now time.Time, set *rules.Set, shares Shares) {
	d.rules = set
	d.updateUpstreams(shares)
	d.rebuildPools()
	for _, p := range d.pools {
		d.refuseDisallowed(p)
	}
	d.Tick(now)
}

// SetShare replaces the share of one upstream and grants slots that this frees.
func (d *Dispatcher) SetShare(now time.Time, id string, share slot.Share) {
	u := d.upstreams[id]
	if u == nil {
		return
	}
	hadShare := u.share.Requests > 0
	u.share = share
	if hadShare != (share.Requests > 0) {
		d.rebuildPools()
	}
	d.serveQueuesOf(now, u)
}

func (d *Dispatcher) updateUpstreams(shares Shares) {
	for id, u := range d.upstreams {
		if d.rules.Upstreams[id] == nil {
			u.inService = false
			delete(d.upstreams, id)
		}
	}
	for _, rule := range d.rules.UpstreamsByID() {
		u := d.upstreams[rule.ID]
		if u == nil || u.rule.Address != rule.Address {
			u = &upstream{}
			d.upstreams[rule.ID] = u
		}
		d.configureUpstream(u, rule)
		u.share = shares.Of(rule.ID)
		u.firstRank = shares.HasFirstRank(rule.ID)
	}
}

func (d *Dispatcher) configureUpstream(u *upstream, rule *rules.Upstream) {
	inService := d.rules.InService(rule)
	if inService && !u.inService && u.rule != nil {
		// Restart the ramp, since an upstream that returns to service has
		// usually been restarted.
		u.ramp.Reset()
	}
	if u.rule != rule {
		u.rule = rule
		u.poolKeys = poolKeysOf(rule)
	}
	u.inService = inService
}

func (d *Dispatcher) rebuildPools() {
	for _, p := range d.pools {
		p.local = nil
		p.remote = nil
		p.withoutShare = nil
	}
	for _, rule := range d.rules.UpstreamsByID() {
		u := d.upstreams[rule.ID]
		if !u.inService {
			continue
		}
		for _, key := range u.poolKeys {
			d.pool(key).addUpstream(u, rule.FailureDomain == d.domain)
		}
	}
	for key, p := range d.pools {
		if p.upstreamCount()+p.queue.size == 0 {
			delete(d.pools, key)
		}
	}
}

func (d *Dispatcher) pool(key PoolKey) *pool {
	p := d.pools[key]
	if p == nil {
		p = &pool{avgHoldTime: initialHoldTime}
		d.pools[key] = p
	}
	return p
}

func (d *Dispatcher) refuseDisallowed(p *pool) {
	var disallowed []*Ticket
	p.queue.each(func(t *Ticket) {
		if d.checkAllowed(t) != nil {
			disallowed = append(disallowed, t)
		}
	})
	for _, t := range disallowed {
		p.queue.remove(t)
		t.OnRefuse(t, d.checkAllowed(t))
	}
}

// checkAllowed returns a refusal if the newest rules have no upstream for the
// ticket.
func (d *Dispatcher) checkAllowed(t *Ticket) error {
	if t.Pool.Service == "" && !resolver.MayDispatch(d.rules, t.Organisation, t.Pool.Target) {
		return refusal.New(refusal.VersionWithdrawn,
			"send the request again without naming the version",
			"version %q accepts no new requests", t.Pool.Target.String())
	}
	p := d.pools[t.Pool]
	if p == nil || p.upstreamCount() == 0 {
		return refusal.New(refusal.NoUpstream,
			"send the request again later; operators find the cause in the rules for its upstreams and failure domains",
			"no upstream of %q is in service", poolName(t.Pool)).WithRetryAfter(time.Second)
	}
	return nil
}

// Offer grants the ticket a slot and returns true, or queues it and returns
// false. It returns a refusal.Error if the ticket is neither granted nor queued.
func (d *Dispatcher) Offer(now time.Time, t *Ticket) (bool, error) {
	if err := d.checkAllowed(t); err != nil {
		return false, err
	}
	p := d.pools[t.Pool]
	p.usage.recordUse(now, t.Organisation)
	if p.mayBypassQueue(t) && d.grant(now, p, t) {
		return true, nil
	}
	if err := p.checkReachable(now, t); err != nil {
		return false, err
	}
	if err := p.checkQueueLimit(now, t); err != nil {
		return false, err
	}
	p.queue.push(t)
	return false, nil
}

// grant assigns a slot to the ticket and reports whether one was free for its
// organisation.
func (d *Dispatcher) grant(now time.Time, p *pool, t *Ticket) bool {
	if p.usage.mustLeaveFree(t.Organisation) {
		return false
	}
	u := d.pickUpstream(now, p, t)
	if u == nil {
		return false
	}
	u.acquire(now, t)
	p.usage.acquire(t.Organisation)
	t.grantedPool = p
	return true
}

// pickUpstream returns an upstream that can take the ticket, or nil. It prefers
// the less loaded of two random upstreams in this failure domain, then in the
// others, and uses AvoidUpstream last.
func (d *Dispatcher) pickUpstream(now time.Time, p *pool, t *Ticket) *upstream {
	if t.OnlyUpstream != "" {
		return p.pickByID(now, t, t.OnlyUpstream)
	}
	if t.Suspect && p.canIsolateSuspects(now) {
		return p.pickIsolated(now, t)
	}
	if u := d.pickFrom(now, p.local, t); u != nil {
		return u
	}
	if u := d.pickFrom(now, p.remote, t); u != nil {
		return u
	}
	return p.pickByID(now, t, t.AvoidUpstream)
}

// pickFrom returns the less loaded of two random upstreams if it can take the
// ticket, else any that can, or nil.
func (d *Dispatcher) pickFrom(now time.Time, us []*upstream, t *Ticket) *upstream {
	if len(us) == 0 {
		return nil
	}
	a := us[d.random.IntN(len(us))]
	b := us[d.random.IntN(len(us))]
	if b.load() < a.load() {
		a = b
	}
	if a.rule.ID != t.AvoidUpstream && a.canTake(now, t) {
		return a
	}
	return firstFree(now, us, t, d.random.IntN(len(us)))
}

// Release ends a granted ticket, records its outcome and the time to its first
// token, and grants the freed slot to waiting tickets.
func (d *Dispatcher) Release(now time.Time, t *Ticket, o Outcome, firstToken time.Duration) {
	u := t.upstream
	if u == nil {
		return
	}
	u.release(t)
	u.recordOutcome(now, t.epoch, o, firstToken)
	t.upstream = nil
	t.rule = nil
	p := t.grantedPool
	p.usage.release(t.Organisation)
	held := now.Sub(t.grantedAt)
	p.avgHoldTime += time.Duration(holdTimeWeight * float64(held-p.avgHoldTime))
	d.serveQueuesOf(now, u)
}

// Cancel removes a waiting ticket from its queue. It reports false for a ticket
// that isn't waiting; if it was granted in the meantime, it must be released.
func (d *Dispatcher) Cancel(t *Ticket) bool {
	if !t.waiting {
		return false
	}
	if p := d.pools[t.Pool]; p != nil {
		p.queue.remove(t)
	}
	return true
}

// Tick refreshes the usage counts and serves queues whose upstreams have become
// usable since, because their backoff has ended. Call it periodically.
func (d *Dispatcher) Tick(now time.Time) {
	for _, p := range d.pools {
		p.usage.refresh(now, p.capacity())
		if p.queue.size > 0 {
			d.serve(now, p)
		}
	}
}

func (d *Dispatcher) serve(now time.Time, p *pool) {
	p.queue.serve(func(t *Ticket) bool {
		if !d.grant(now, p, t) {
			return false
		}
		t.OnGrant(t)
		return true
	})
}
