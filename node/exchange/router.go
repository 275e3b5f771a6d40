package exchange

import (
	"sync"
	"sync/atomic"
	"time"

	"banyanyard/core/cascade"
	"banyanyard/core/gossip"
	"banyanyard/core/load"
	"banyanyard/core/placement"
	"banyanyard/core/refusal"
	"banyanyard/core/retry"
	"banyanyard/core/routing"
	"banyanyard/core/trial"
	"banyanyard/io/jsonlog"
)

// Bounds are limits of the deployment that apply to all instances together.
type Bounds struct {
	RetryRatio  float64       // retries allowed per request to a service
	RetrySlack  float64       // retries allowed in addition to the ratio
	RetryWindow time.Duration // span over which retries and requests are counted
	Trial       trial.Bounds
}

// A Router answers requests. Create it with New. It is safe for concurrent use.
type Router struct {
	Transport Transport
	Log       *jsonlog.Logger
	Metrics   *Metrics
	Bounds    Bounds // guarded by mu from the first request on
	// Verdicts keeps the verdicts on requests that crash upstreams; nil if nothing does.
	Verdicts VerdictStore
	// Usage counts the requests that began to run; nil if nothing does.
	Usage UsageCounter
	// RowsAge returns how old the configuration and the other rows of the store may be that
	// this instance knows; nil if that is not known.
	RowsAge func() time.Duration

	instance string
	table    atomic.Pointer[routing.Table]
	crashes  crashMonitor
	stopping stopping
	demands  demandMeter
	detours  detours
	outgoing chan gossip.Entry // entries to publish to the other instances
	// upstreamsKnown is true once all registrations have been read.
	upstreamsKnown atomic.Bool

	mu           sync.Mutex
	fleet        *placement.Fleet               // guarded by mu
	retryBudgets map[string]*retry.WindowBudget // guarded by mu; by service
	trials       map[string]*trial.Trial        // guarded by mu; by service
	// withdrawnTrials are the trials of orders that were withdrawn last. Guarded by mu; by
	// service.
	withdrawnTrials map[string]*trial.Trial
	// histories are what orders have made of versions. Guarded by mu; by service.
	histories map[string]*trial.History
	// statesKnown are the services whose stored states of orders have been read. Guarded by mu.
	statesKnown map[string]bool
	// statesExpected is true while the states of orders are being read. Guarded by mu.
	statesExpected bool
	baselines      map[string]*trial.Baseline // guarded by mu; by service
	configuredAt   time.Time                  // when the first routing table was set; guarded by mu
	// escalators decide whether a larger model answers. Guarded by mu; by service.
	escalators  map[string]*cascade.Escalator
	answerTimes map[string]*answerTime // guarded by mu; by route
	// domainDemand is what the instances of each failure domain see. Guarded by mu.
	domainDemand load.Domains
	// sessionLastSeen holds the time of each session's last request. Guarded by mu.
	sessionLastSeen map[string]time.Time
	// sessionsRunning holds the number of each session's requests that are being answered.
	// Guarded by mu.
	sessionsRunning map[string]int
	// trialNews signals that the evidence has stopped a trial, or that a load test has begun.
	// Other instances are to learn of either at once. Its capacity is 1:
	// if the channel is full, a check of all trials is already due.
	trialNews chan struct{}
}

// maxOutgoing is the number of entries that can wait to be published.
const maxOutgoing = 256

// New returns a router for an instance in a failure domain. The exported fields
// must be set before the first request.
func New(instance, domain string) *Router {
	return &Router{
		instance:        instance,
		crashes:         newCrashMonitor(),
		stopping:        newStopping(),
		detours:         newDetours(domain),
		outgoing:        make(chan gossip.Entry, maxOutgoing),
		fleet:           placement.New(instance, domain),
		retryBudgets:    map[string]*retry.WindowBudget{},
		trials:          map[string]*trial.Trial{},
		withdrawnTrials: map[string]*trial.Trial{},
		statesKnown:     map[string]bool{},
		histories:       map[string]*trial.History{},
		baselines:       map[string]*trial.Baseline{},
		escalators:      map[string]*cascade.Escalator{},
		answerTimes:     map[string]*answerTime{},
		sessionLastSeen: map[string]time.Time{},
		sessionsRunning: map[string]int{},
		trialNews:       make(chan struct{}, 1),
	}
}

// SetBounds replaces the limits. It may be called while requests are answered.
func (r *Router) SetBounds(b Bounds) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Bounds = b
}

// Table returns the routing table in use, or nil if there is none yet.
func (r *Router) Table() *routing.Table { return r.table.Load() }

// SetTable replaces the routing table unless the current one is as new or newer, by
// version and then by era.
// It reports whether it did.
func (r *Router) SetTable(t *routing.Table) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if old := r.table.Load(); old != nil && (old.Version > t.Version || old.Version == t.Version && old.Era >= t.Era) {
		return false
	}
	for _, s := range t.Services {
		r.fleet.SetColdRate(s.Name, s.ColdRate)
		r.fleet.SetHasModels(s.Name, s.ModelCosts != nil)
	}
	r.demands.setServices(t.Services)
	r.table.Store(t)
	if r.configuredAt.IsZero() {
		r.configuredAt = time.Now()
	}
	return true
}

// SetUpstreamsKnown records that all registrations have been read. Before that,
// a request that finds no upstream waits for one instead of being refused at
// once.
func (r *Router) SetUpstreamsKnown() { r.upstreamsKnown.Store(true) }

// ExpectOrderStates makes requests wait for the stored states of earlier orders, where the
// instance starts while there is an order, until SetOrderStatesKnown or for maxStateWait.
func (r *Router) ExpectOrderStates() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.statesExpected = true
}

// SetOrderStatesKnown records that the stored states of all orders have been read.
func (r *Router) SetOrderStatesKnown() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.statesExpected = false
}

// LacksOrderStates reports whether there is an order that is older than this instance, and
// the stored states of its service have not been read.
func (r *Router) LacksOrderStates() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for service := range r.trials {
		if r.lacksStates(service) {
			return true
		}
	}
	return false
}

// lacksStates reports whether the versions that earlier orders were for may not be known.
// The caller holds mu.
func (r *Router) lacksStates(service string) bool {
	return r.statesExpected && r.trials[service] != nil && !r.statesKnown[service]
}

// maxStateWait bounds the wait for the states of orders, from the first configuration on.
// The store may be silent.
const maxStateWait = time.Second

// awaitsStates reports whether requests to a service are to wait for the states of earlier
// orders. The caller holds mu.
func (r *Router) awaitsStates(now time.Time, service string) bool {
	return r.lacksStates(service) && now.Sub(r.configuredAt) < maxStateWait
}

// awaitsRows reports whether a service that seems to have no upstream may have one in rows
// that have not been read yet.
func (r *Router) awaitsRows(service string) bool {
	if !r.upstreamsKnown.Load() {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.awaitsStates(time.Now(), service)
}

// WithFleet calls f with the current time and the fleet while it holds mu. f must
// not block or call methods of the router.
func (r *Router) WithFleet(f func(now time.Time, fleet *placement.Fleet)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(time.Now(), r.fleet)
}

// A Match is the route and organisation of a request.
type Match struct {
	Table        *routing.Table
	Route        *routing.Route
	Organisation *routing.Organisation // nil on public routes
}

// notReadyRetryAfter is the Retry-After time of an instance without configuration.
// An instance reads its configuration within 100 ms of its start unless the store
// is unavailable.
const notReadyRetryAfter = 250 * time.Millisecond

const (
	// maxRefusalAge is the age of the store's rows from which on no request is refused by them
	// for good: what it asks for may have been added since. By then newer rows should have come
	// from one of several sources.
	maxRefusalAge = 2 * time.Second
	// oldRowsRetryAfter is the Retry-After time of such a refusal.
	oldRowsRetryAfter = time.Second
)

// RefuseForGood returns a refusal by the routes, keys and limits that this instance knows or, if
// these may be too old for that, one that asks for the request to be sent again.
func (r *Router) RefuseForGood(e *refusal.Error) *refusal.Error {
	if r.RowsAge == nil {
		return e
	}
	age := r.RowsAge()
	if age < maxRefusalAge {
		return e
	}
	return refusal.New(refusal.NotReady, "send the request again after the time in Retry-After",
		"%s, but this instance's configuration may be %d ms old", e.Detail, age.Milliseconds()).WithRetryAfter(oldRowsRetryAfter)
}

// Match finds the route and the organisation of a request.
func (r *Router) Match(host, path, key string) (Match, *refusal.Error) {
	t := r.table.Load()
	if t == nil {
		return Match{}, refusal.New(refusal.NotReady, "send the request again after the time in Retry-After", "this instance has no configuration yet").WithRetryAfter(notReadyRetryAfter)
	}
	m := Match{Table: t, Route: t.Route(host, path)}
	if m.Route == nil {
		return m, r.RefuseForGood(refusal.New(refusal.ServiceNotFound, "use a path that your operators have configured", "no route of host %q matches the path %q", host, path))
	}
	if t.RequiresKey() && !m.Route.Public {
		m.Organisation = t.OrganisationByKey(key)
		if m.Organisation == nil {
			return m, r.RefuseForGood(refusal.New(refusal.UnknownKey, "send a key that your operators have issued", "the request has no known API key"))
		}
	}
	return m, nil
}

// Priority returns the priority of the matched request; 0 is the highest.
func (m *Match) Priority() int {
	if m.Organisation != nil && m.Organisation.OverridesPriority {
		return m.Organisation.Priority
	}
	return m.Route.Priority
}

// retryBudget returns the retry budget of a service. The caller holds mu.
func (r *Router) retryBudget(service string) *retry.WindowBudget {
	b := r.retryBudgets[service]
	if b == nil {
		b = retry.NewWindowBudget(r.Bounds.RetryWindow)
		r.retryBudgets[service] = b
	}
	b.Ratio = r.Bounds.RetryRatio * retryBudgetMargin
	b.Slack = r.Bounds.RetrySlack * retryBudgetMargin / float64(max(r.fleet.NumInstances(), minBudgetInstances))
	return b
}

const (
	// retryBudgetMargin is the share of the retry limits that is used, since the
	// window in which retries arrive differs from the one in which they are counted.
	retryBudgetMargin = 0.8
	// minBudgetInstances is the minimum number of instances among which the slack
	// is divided, since an instance that has just started doesn't know the others.
	minBudgetInstances = 8
)

// beginRequest counts a request for the retry budget of its service, and for its session.
func (r *Router) beginRequest(q *Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retryBudget(q.Service).RecordRequest(time.Now())
	if q.Session != "" {
		r.sessionsRunning[q.Session]++
	}
}

// endRequest records the end of a request. Its session counts as recent from then on.
func (r *Router) endRequest(q *Request) {
	if q.Session == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refreshSession(time.Now(), q.Session)
	r.sessionsRunning[q.Session]--
	if r.sessionsRunning[q.Session] == 0 {
		delete(r.sessionsRunning, q.Session)
	}
}

// refreshSession records that a session has, or had, a request at a time. The caller holds
// mu.
func (r *Router) refreshSession(now time.Time, session string) {
	if _, known := r.sessionLastSeen[session]; !known {
		return // no request of it has been sent to an upstream
	}
	r.sessionLastSeen[session] = now
	for _, t := range r.trials {
		t.RefreshSession(now, session)
	}
}

// mayRetry reports whether the retry budget of a service allows another attempt.
func (r *Router) mayRetry(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.retryBudget(service).Remaining(time.Now()) >= 1
}

func (r *Router) spendRetry(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.retryBudget(service).Spend(time.Now())
}
