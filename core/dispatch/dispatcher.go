package dispatch

import (
	"math/rand/v2"
	"time"

	"banyanyard/core/refusal"
	"banyanyard/core/resolver"
	"banyanyard/core/rules"
	"banyanyard/core/slot"
)

// waitingPerSlot bounds the queue of a pool, in tickets for each slot.
const waitingPerSlot = 8

// minWaiting is the length that every queue may reach.
const minWaiting = 16

// initialHold is the time that a slot is assumed to be held before any was
// released.
const initialHold = time.Second

// holdWeight is the weight of the newest sample in the moving average.
const holdWeight = 0.1

// Shares tells what this instance may hold at each upstream.
type Shares interface {
	Of(upstream string) slot.Share
	// First reports whether this instance alone may run suspects there.
	First(upstream string) bool
}

// A Dispatcher hands out this instance's slots.
type Dispatcher struct {
	domain    string // failure domain of this instance
	set       *rules.Set
	upstreams map[string]*upstream
	pools     map[Pool]*pool
	random    *rand.Rand
}

// New returns a Dispatcher without rules. Its choices among equal upstreams
// depend on the seed alone.
func New(domain string, seed uint64) *Dispatcher {
	return &Dispatcher{
		domain:    domain,
		upstreams: map[string]*upstream{},
		pools:     map[Pool]*pool{},
		random:    rand.New(rand.NewPCG(seed, seed)),
	}
}

// Update replaces the rules and the shares. It refuses waiting tickets that the
// new rules forbid, and grants those that there is room for.
func (d *Dispatcher) Update(now time.Time, set *rules.Set, shares Shares) {
	d.set = set
	d.updateUpstreams(shares)
	d.rebuildPools()
	for _, p := range d.pools {
		d.refuseForbidden(p)
	}
	d.Tick(now)
}

// SetShare replaces the share of one upstream.
func (d *Dispatcher) SetShare(now time.Time, id string, share slot.Share) {
	u := d.upstreams[id]
	if u == nil {
		return
	}
	had := u.share.Requests > 0
	u.share = share
	if had != (share.Requests > 0) {
		d.rebuildPools()
	}
	d.serveUpstream(now, u)
}

func (d *Dispatcher) updateUpstreams(shares Shares) {
	for id, u := range d.upstreams {
		if d.set.Upstreams[id] == nil {
			u.inService = false
			delete(d.upstreams, id)
		}
	}
	for _, rule := range d.set.UpstreamsByID() {
		u := d.upstreams[rule.ID]
		if u == nil || u.rule.Address != rule.Address {
			u = &upstream{}
			d.upstreams[rule.ID] = u
		}
		d.configure(u, rule)
		u.share = shares.Of(rule.ID)
		u.first = shares.First(rule.ID)
	}
}

func (d *Dispatcher) configure(u *upstream, rule *rules.Upstream) {
	inService := d.set.InService(rule)
	if inService && !u.inService && u.rule != nil {
		// An upstream that returns to service has usually been restarted.
		u.ramp.Restart()
	}
	if u.rule != rule {
		u.rule = rule
		u.pools = poolsOf(rule)
	}
	u.inService = inService
}

func (d *Dispatcher) rebuildPools() {
	for _, p := range d.pools {
		p.near = nil
		p.far = nil
		p.other = nil
	}
	for _, rule := range d.set.UpstreamsByID() {
		u := d.upstreams[rule.ID]
		if !u.inService {
			continue
		}
		for _, key := range u.pools {
			d.pool(key).add(u, rule.FailureDomain == d.domain)
		}
	}
	for key, p := range d.pools {
		if p.upstreams()+p.queue.size == 0 {
			delete(d.pools, key)
		}
	}
}

func (d *Dispatcher) pool(key Pool) *pool {
	p := d.pools[key]
	if p == nil {
		p = &pool{hold: initialHold}
		d.pools[key] = p
	}
	return p
}

func (d *Dispatcher) refuseForbidden(p *pool) {
	var forbidden []*Ticket
	p.queue.each(func(t *Ticket) {
		if d.forbids(t) != nil {
			forbidden = append(forbidden, t)
		}
	})
	for _, t := range forbidden {
		p.queue.remove(t)
		t.OnRefuse(t, d.forbids(t))
	}
}

// forbids returns the refusal when the newest rules give the ticket no
// upstream.
func (d *Dispatcher) forbids(t *Ticket) error {
	if t.Pool.Service == "" && !resolver.MayDispatch(d.set, t.Organisation, t.Pool.Target) {
		return refusal.New(refusal.VersionWithdrawn,
			"send the request again without naming the version",
			"version %q takes no new work", t.Pool.Target.String())
	}
	p := d.pools[t.Pool]
	if p == nil || p.upstreams() == 0 {
		return refusal.New(refusal.NoUpstream,
			"try again later; operators see why in the rules for its upstreams and failure domains",
			"no upstream in service has room for %q", poolName(t.Pool)).WithRetryAfter(time.Second)
	}
	return nil
}

// Offer grants the ticket a slot and returns true, or queues it and returns
// false. An error refuses it.
func (d *Dispatcher) Offer(now time.Time, t *Ticket) (bool, error) {
	if err := d.forbids(t); err != nil {
		return false, err
	}
	p := d.pools[t.Pool]
	p.usage.note(now, t.Organisation)
	if p.atOnce(t) && d.grant(now, p, t) {
		return true, nil
	}
	if err := p.down(now, t); err != nil {
		return false, err
	}
	if err := p.full(now, t); err != nil {
		return false, err
	}
	p.queue.push(t)
	return false, nil
}

// grant gives the ticket a slot, if there is one for its organisation.
func (d *Dispatcher) grant(now time.Time, p *pool, t *Ticket) bool {
	if p.usage.leavesFree(t.Organisation) {
		return false
	}
	u := d.pick(now, p, t)
	if u == nil {
		return false
	}
	u.take(now, t)
	p.usage.take(t.Organisation)
	t.pool = p
	return true
}

// pick returns an upstream with room: the less loaded of two random ones of
// this failure domain, else of the others.
func (d *Dispatcher) pick(now time.Time, p *pool, t *Ticket) *upstream {
	if t.Only != "" {
		return p.named(now, t, t.Only)
	}
	if t.Suspect && p.hasFirst(now) {
		return p.apart(now, t)
	}
	if u := d.pickFrom(now, p.near, t); u != nil {
		return u
	}
	if u := d.pickFrom(now, p.far, t); u != nil {
		return u
	}
	return p.named(now, t, t.Avoid)
}

func (d *Dispatcher) pickFrom(now time.Time, us []*upstream, t *Ticket) *upstream {
	if len(us) == 0 {
		return nil
	}
	a := us[d.random.IntN(len(us))]
	b := us[d.random.IntN(len(us))]
	if b.load() < a.load() {
		a = b
	}
	if a.rule.ID != t.Avoid && a.free(now, t) {
		return a
	}
	return firstFree(now, us, t, d.random.IntN(len(us)))
}

// Release ends a granted ticket and grants its slot to waiting ones.
func (d *Dispatcher) Release(now time.Time, t *Ticket, o Outcome, firstToken time.Duration) {
	u := t.upstream
	if u == nil {
		return
	}
	u.give(t)
	u.observe(now, t.epoch, o, firstToken)
	t.upstream = nil
	t.rule = nil
	p := t.pool
	p.usage.give(t.Organisation)
	held := now.Sub(t.granted)
	p.hold += time.Duration(holdWeight * float64(held-p.hold))
	d.serveUpstream(now, u)
}

// Cancel ends a ticket that still waits. It reports whether it did; a ticket
// that was granted in the meantime must be released.
func (d *Dispatcher) Cancel(t *Ticket) bool {
	if !t.waiting {
		return false
	}
	if p := d.pools[t.Pool]; p != nil {
		p.queue.remove(t)
	}
	return true
}

// Tick serves queues whose upstreams have become usable with time.
func (d *Dispatcher) Tick(now time.Time) {
	for _, p := range d.pools {
		p.usage.tick(now, p.slots())
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
