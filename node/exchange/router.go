package exchange

import (
	"sync"
	"sync/atomic"
	"time"

	"banyanyard/core/cascade"
	"banyanyard/core/crash"
	"banyanyard/core/gossip"
	"banyanyard/core/placement"
	"banyanyard/core/refusal"
	"banyanyard/core/retry"
	"banyanyard/core/routing"
	"banyanyard/core/trial"
	"banyanyard/io/jsonlog"
)

// Bounds are the limits of a deployment that all instances keep together.
type Bounds struct {
	RetryShare float64       // repeats for each request to a service
	RetrySlack float64       // repeats that are allowed beside these
	RetrySpan  time.Duration // over which both are counted
	Trial      trial.Bounds
}

// A Router answers requests. Use New.
type Router struct {
	Transport Transport
	Log       *jsonlog.Logger
	Metrics   *Metrics
	Bounds    Bounds // guarded by mu once requests are answered

	instance string
	table    atomic.Pointer[routing.Table]
	news     chan gossip.Entry // for the other instances
	// upstreamsKnown says that all registrations have been read since the start.
	upstreamsKnown atomic.Bool

	mu       sync.Mutex
	fleet    *placement.Fleet               // guarded by mu
	ratios   map[string]*retry.WindowBudget // guarded by mu; by service
	trials   map[string]*trial.Trial        // guarded by mu; by service
	suspects crash.Suspects                 // guarded by mu
	// ladders decide which model answers. Guarded by mu; by service.
	ladders map[string]*cascade.Escalator
	// sessions holds when each session was seen last. Guarded by mu.
	sessions map[string]time.Time
	// stopped is told of services whose trial has stopped here. Capacity 1; a
	// full channel means that a look is due anyway.
	stopped chan struct{}
}

// newsBacklog bounds the news that wait to be spread.
const newsBacklog = 64

// New returns a router of an instance in a failure domain. Its exported fields
// must be set before the first request.
func New(instance, domain string) *Router {
	return &Router{
		instance: instance,
		news:     make(chan gossip.Entry, newsBacklog),
		fleet:    placement.New(instance, domain),
		ratios:   map[string]*retry.WindowBudget{},
		trials:   map[string]*trial.Trial{},
		ladders:  map[string]*cascade.Escalator{},
		sessions: map[string]time.Time{},
		stopped:  make(chan struct{}, 1),
	}
}

// SetBounds replaces the limits while requests are answered.
func (r *Router) SetBounds(b Bounds) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Bounds = b
}

// Table returns the routing table in force, or nil.
func (r *Router) Table() *routing.Table { return r.table.Load() }

// Configure puts a routing table in force unless a newer one is. It reports
// whether it did.
func (r *Router) Configure(t *routing.Table) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if old := r.table.Load(); old != nil && old.Version >= t.Version {
		return false
	}
	for _, s := range t.Services {
		r.fleet.SetColdRate(s.Name, s.ColdRate)
	}
	r.table.Store(t)
	return true
}

// UpstreamsKnown says that all registrations have been read. Before that a
// request that finds no upstream waits for one for a while.
func (r *Router) UpstreamsKnown() { r.upstreamsKnown.Store(true) }

// Fleet calls f with the upstreams that the router knows.
func (r *Router) Fleet(f func(now time.Time, fleet *placement.Fleet)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(time.Now(), r.fleet)
}

// A Match is where a request belongs.
type Match struct {
	Table        *routing.Table
	Route        *routing.Route
	Organisation *routing.Organisation // nil on public routes
}

// notReadyPause is when a caller is told to come back to an instance that has no
// configuration yet: it reads it within a tenth of a second of its start, unless
// the store is away.
const notReadyPause = 250 * time.Millisecond

// Match finds the route and the organisation of a request.
func (r *Router) Match(host, path, key string) (Match, *refusal.Error) {
	t := r.table.Load()
	if t == nil {
		return Match{}, refusal.New(refusal.NotReady, "send the request again after the time in Retry-After", "this instance has no configuration yet").WithRetryAfter(notReadyPause)
	}
	m := Match{Table: t, Route: t.Route(host, path)}
	if m.Route == nil {
		return m, refusal.New(refusal.ServiceNotFound, "use a path that your operators have configured", "no route of host %q has a prefix of %q", host, path)
	}
	if t.RequiresKey() && !m.Route.Public {
		m.Organisation = t.OrganisationByKey(key)
		if m.Organisation == nil {
			return m, refusal.New(refusal.UnknownKey, "send a key that your operators have issued", "the request has no known key")
		}
	}
	return m, nil
}

// Priority returns the rank of the matched request; 0 is the highest.
func (m *Match) Priority() int {
	if m.Organisation != nil && m.Organisation.OverridesPriority {
		return m.Organisation.Priority
	}
	return m.Route.Priority
}

// ratio returns the retry budget of a service. The caller holds mu.
func (r *Router) ratio(service string) *retry.WindowBudget {
	b := r.ratios[service]
	if b == nil {
		b = retry.NewWindowBudget(r.Bounds.RetrySpan)
		r.ratios[service] = b
	}
	b.Ratio = r.Bounds.RetryShare * ratioMargin
	b.Slack = r.Bounds.RetrySlack * ratioMargin / float64(max(r.fleet.NumInstances(), minInstances))
	return b
}

const (
	// ratioMargin is the part of the retry bound that is used, since the span
	// in which repeats arrive differs from the one in which they are counted.
	ratioMargin = 0.8
	// minInstances is the least number of instances among which the slack is
	// divided, since one that has just started doesn't know the others.
	minInstances = 8
)

func (r *Router) countRequest(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ratio(service).RecordRequest(time.Now())
}

func (r *Router) spendRetry(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ratio(service).Spend(time.Now())
}

// ladder returns the cascade of a service. The caller holds mu.
func (r *Router) ladder(service string) *cascade.Escalator {
	l := r.ladders[service]
	if l == nil {
		l = &cascade.Escalator{}
		r.ladders[service] = l
	}
	return l
}

// escalate decides whether a larger model is asked, and takes the attempt from
// the retry budget.
func (r *Router) escalate(service string, q cascade.EscalateParams) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ladder(service).Escalate(q) && r.ratio(service).Spend(time.Now())
}

// headTimeout returns how long an attempt of a kind may take to its first
// answer before it is tried elsewhere.
func (r *Router) headTimeout(service, kind string, target time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(time.Duration(headPart*float64(target)), headFactor*r.ladder(service).ExpectedLatency(kind))
}

// costs returns the prices of a service's models.
func (r *Router) costs(service string) map[string]float64 {
	if s := r.Table().Service(service); s != nil {
		return s.ModelCosts
	}
	return nil
}
