package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// An Upstream is the registration of an upstream.
type Upstream struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	Version       string
	Slots         int // requests that it runs at the same time
	Draining      bool
	ColdLeft      time.Duration // time until it is warm, from its registration on; 0 if it is warm
	StartUnixMs   int64         // start time in Unix milliseconds, which tells restarts apart; 0 if unknown
}

// A Fleet is one instance's view of the upstreams. Create it with New.
type Fleet struct {
	instance        string
	domain          string   // of the instance
	instanceNames   []string // of all that may be running, including this one
	services        map[string]*service
	byID            map[string]*upstream
	departed        map[Start]time.Time      // starts that leave or have left, with the time of the news
	absent          map[Start]absence        // starts without a registration, which may come back
	disabledDomains map[string]bool          // failure domains whose upstreams get no new attempts
	warmthUnknown   map[string]time.Time     // failure domains that were taken back, with the time; see SetWarmthUnknown
	domainHealths   map[string]*domainHealth // by failure domain
	loadSetAt       time.Time                // when SetLoad was last called; zero if never
	random          *rand.Rand
	memberRound     int       // incremented when instanceNames changes
	firstRegistered time.Time // when the first upstream was registered
}

type service struct {
	coldRate  float64     // requests per second that a cold upstream may get; 0 means no limit
	hasModels bool        // its upstreams are model engines
	upstreams []*upstream // sorted by ID
	errorRate movingRate  // over all its upstreams
	partition promptPartition
}

// New returns an empty fleet for an instance in the given failure domain.
func New(instance, domain string) *Fleet {
	return &Fleet{
		instance:        instance,
		domain:          domain,
		instanceNames:   []string{instance},
		services:        map[string]*service{},
		byID:            map[string]*upstream{},
		departed:        map[Start]time.Time{},
		absent:          map[Start]absence{},
		disabledDomains: map[string]bool{},
		warmthUnknown:   map[string]time.Time{},
		domainHealths:   map[string]*domainHealth{},
		random:          newRandom(instance),
		memberRound:     1,
	}
}

// SetInstances sets the names of all instances that may be running. The limits of
// upstreams are divided among them. This instance is always included.
func (f *Fleet) SetInstances(names []string) {
	f.instanceNames = slices.Clone(names)
	if !slices.Contains(f.instanceNames, f.instance) {
		f.instanceNames = append(f.instanceNames, f.instance)
	}
	f.memberRound++
}

// Len returns the number of known upstreams.
func (f *Fleet) Len() int { return len(f.byID) }

// NumInstances returns the number of instances that share the upstreams.
func (f *Fleet) NumInstances() int { return len(f.instanceNames) }

// SetColdRate sets how many requests per second a cold upstream of the service
// may get from all instances together; 0 means no limit.
func (f *Fleet) SetColdRate(serviceName string, rate float64) { f.service(serviceName).coldRate = rate }

// SetHasModels sets whether the upstreams of the service are model engines.
func (f *Fleet) SetHasModels(serviceName string, hasModels bool) {
	f.service(serviceName).hasModels = hasModels
}

// SetDomainDisabled sets whether the upstreams of a failure domain get no new
// attempts.
func (f *Fleet) SetDomainDisabled(domain string, disabled bool) { f.disabledDomains[domain] = disabled }

// maxWarmthUnknown is the time after which the upstreams of a failure domain count as warm
// although no recent registrations are known: the start of an upstream takes less.
const maxWarmthUnknown = 10 * time.Second

// SetWarmthUnknown records that a failure domain has been taken back. Its upstreams may
// have become cold meanwhile, and count as cold until their registrations are known up to
// that time.
func (f *Fleet) SetWarmthUnknown(now time.Time, domain string) { f.warmthUnknown[domain] = now }

// ConfirmRegistrations records that the registrations are known up to a time.
func (f *Fleet) ConfirmRegistrations(asOf time.Time) {
	for domain, since := range f.warmthUnknown {
		if asOf.After(since) {
			delete(f.warmthUnknown, domain)
		}
	}
}

// isCold reports whether the cold rate of its service applies to the upstream.
func (f *Fleet) isCold(now time.Time, u *upstream) bool {
	if now.Before(u.coldUntil) {
		return true
	}
	since, unknown := f.warmthUnknown[u.FailureDomain]
	return unknown && now.Sub(since) < maxWarmthUnknown
}

func (f *Fleet) service(name string) *service {
	s := f.services[name]
	if s == nil {
		s = &service{partition: newPromptPartition()}
		f.services[name] = s
	}
	return s
}

// Register adds an upstream or updates its registration. A new start time or
// service replaces the upstream and its health. What a start has said, such as that it
// drains or a limit, holds on if its registration was gone meanwhile.
func (f *Fleet) Register(now time.Time, r Upstream) {
	if r.Draining {
		f.SetLeaving(now, r.start())
	}
	r.Draining = r.Draining || f.hasDeparted(r.start())
	u := f.byID[r.ID]
	if u != nil && u.StartUnixMs == r.StartUnixMs && u.Service == r.Service {
		f.refresh(now, u, r)
		return
	}
	earlier := u
	u = f.returning(r)
	f.presumeAsOthers(now, f.service(r.Service), u)
	if earlier != nil {
		f.remove(earlier)
	}
	if f.firstRegistered.IsZero() {
		f.firstRegistered = now
	}
	f.setColdLeft(now, u, r.ColdLeft)
	f.byID[r.ID] = u
	s := f.service(r.Service)
	at, _ := slices.BinarySearchFunc(s.upstreams, r.ID, func(u *upstream, id string) int { return cmp.Compare(u.ID, id) })
	s.upstreams = slices.Insert(s.upstreams, at, u)
	f.withdrawSameAddress(now, u)
}

// withdrawSameAddress withdraws upstreams that started earlier at the same
// address: a registration outlives its upstream, and addresses are soon reused.
func (f *Fleet) withdrawSameAddress(now time.Time, newest *upstream) {
	for _, u := range f.byID {
		if u != newest && u.Address == newest.Address && u.StartUnixMs < newest.StartUnixMs {
			u.goneAt = now
		}
	}
}

func (f *Fleet) refresh(now time.Time, u *upstream, r Upstream) {
	r.Draining = r.Draining || u.Draining
	if r.Address != u.Address {
		u.connectFailures = 0
		u.downUntil = time.Time{}
	}
	u.Upstream = r
	u.goneAt = time.Time{}
	if r.ColdLeft > 0 {
		f.setColdLeft(now, u, r.ColdLeft)
	}
}

func (f *Fleet) setColdLeft(now time.Time, u *upstream, left time.Duration) {
	if left > 0 {
		u.coldUntil = now.Add(left)
	}
}

// Withdraw records that the registration of an upstream is gone. The upstream
// gets no new attempts from the given time on, unless it registers again. Of
// several such times the earliest counts.
func (f *Fleet) Withdraw(id string, from time.Time) {
	if u := f.byID[id]; u != nil && (u.goneAt.IsZero() || from.Before(u.goneAt)) {
		u.goneAt = from
	}
}

// RemoveGone removes upstreams that are gone and have no running attempts.
func (f *Fleet) RemoveGone(now time.Time) {
	f.expireStarts(now)
	for _, u := range f.byID {
		if u.isGone(now) && u.runningAttempts == 0 {
			f.remove(u)
			f.retain(now, u)
		}
	}
}

func (f *Fleet) remove(u *upstream) {
	delete(f.byID, u.ID)
	s := f.service(u.Service)
	s.upstreams = slices.DeleteFunc(s.upstreams, func(o *upstream) bool { return o == u })
}

// RunningAttempts returns how many attempts of this instance run at upstreams of
// the service whose version the filter accepts.
func (f *Fleet) RunningAttempts(serviceName string, accepts func(version string) bool) int {
	n := 0
	for _, u := range f.service(serviceName).upstreams {
		if accepts(u.Version) {
			n += u.runningAttempts
		}
	}
	return n
}

// Serves reports whether an upstream of a service that has an accepted version may get new
// attempts.
func (f *Fleet) Serves(now time.Time, serviceName string, accepts func(version string) bool) bool {
	s := f.services[serviceName]
	return s != nil && slices.ContainsFunc(s.upstreams, func(u *upstream) bool { return accepts(u.Version) && f.acceptsWork(now, u) })
}

// acceptsWork reports whether the upstream may get new attempts at all.
func (f *Fleet) acceptsWork(now time.Time, u *upstream) bool {
	return !u.Draining && !u.isGone(now) && !f.disabledDomains[u.FailureDomain]
}
