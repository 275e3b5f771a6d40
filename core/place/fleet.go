package place

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// An Upstream is what an upstream has registered.
type Upstream struct {
	ID       string
	Service  string
	Address  string
	Domain   string // failure domain
	Version  string
	Slots    int
	Draining bool
	Cold     time.Duration // left when it registered; 0 when it is warm
	Born     int64         // changes with each start
}

// A Fleet is what one instance knows of upstreams. Use New.
type Fleet struct {
	instance  string
	domain    string
	instances []string // all that may be running, this one included
	services  map[string]*service
	byID      map[string]*upstream
	out       map[string]bool  // failure domains that take no new work
	paths     map[string]*path // by failure domain
}

type service struct {
	coldRate  float64     // requests a second that a cold upstream bears; 0 means any
	upstreams []*upstream // by identifier
	errors    rate        // of all its upstreams
	lanes     lanes
}

// New returns an empty fleet of the instance in the failure domain.
func New(instance, domain string) *Fleet {
	return &Fleet{
		instance:  instance,
		domain:    domain,
		instances: []string{instance},
		services:  map[string]*service{},
		byID:      map[string]*upstream{},
		out:       map[string]bool{},
		paths:     map[string]*path{},
	}
}

// SetInstances replaces the names of all instances that may be running. The
// rates of cold upstreams are divided among them.
func (f *Fleet) SetInstances(names []string) {
	f.instances = slices.Clone(names)
	if !slices.Contains(f.instances, f.instance) {
		f.instances = append(f.instances, f.instance)
	}
}

// Len returns the number of upstreams that are known.
func (f *Fleet) Len() int { return len(f.byID) }

// Instances returns how many instances share the upstreams.
func (f *Fleet) Instances() int { return len(f.instances) }

// SetColdRate sets how many requests a second from all instances a cold upstream
// of a service bears; 0 means any number.
func (f *Fleet) SetColdRate(name string, rate float64) { f.service(name).coldRate = rate }

// SetOut takes a failure domain out, or back in.
func (f *Fleet) SetOut(domain string, out bool) { f.out[domain] = out }

func (f *Fleet) service(name string) *service {
	s := f.services[name]
	if s == nil {
		s = &service{lanes: newLanes()}
		f.services[name] = s
	}
	return s
}

// Register takes a registration into account.
func (f *Fleet) Register(now time.Time, r Upstream) {
	u := f.byID[r.ID]
	if u != nil && u.Born == r.Born && u.Service == r.Service {
		f.refresh(now, u, r)
		return
	}
	if u != nil {
		f.remove(u)
	}
	u = &upstream{Upstream: r, sent: newColdCounter(), order: score("", r.ID)}
	f.warmUp(now, u, r.Cold)
	f.byID[r.ID] = u
	s := f.service(r.Service)
	at, _ := slices.BinarySearchFunc(s.upstreams, r.ID, func(u *upstream, id string) int { return cmp.Compare(u.ID, id) })
	s.upstreams = slices.Insert(s.upstreams, at, u)
	f.displace(now, u)
}

// displace withdraws upstreams that had the address before: a registration
// outlives its upstream, and the address is soon used again.
func (f *Fleet) displace(now time.Time, by *upstream) {
	for _, u := range f.byID {
		if u != by && u.Address == by.Address && u.Born < by.Born {
			u.goneAt = now
		}
	}
}

func (f *Fleet) refresh(now time.Time, u *upstream, r Upstream) {
	r.Draining = r.Draining || u.Draining
	if r.Address != u.Address {
		u.failures = 0
		u.downUntil = time.Time{}
	}
	u.Upstream = r
	u.goneAt = time.Time{}
	if r.Cold > 0 {
		f.warmUp(now, u, r.Cold)
	}
}

func (f *Fleet) warmUp(now time.Time, u *upstream, left time.Duration) {
	if left > 0 {
		u.coldUntil = now.Add(left)
	}
}

// Withdraw says that the registration of an upstream is gone. It takes no new
// work from the given time on, unless it registers before.
func (f *Fleet) Withdraw(id string, from time.Time) {
	if u := f.byID[id]; u != nil && (u.goneAt.IsZero() || from.Before(u.goneAt)) {
		u.goneAt = from
	}
}

// Sweep forgets upstreams that are gone and hold nothing.
func (f *Fleet) Sweep(now time.Time) {
	for _, u := range f.byID {
		if u.gone(now) && u.running == 0 {
			f.remove(u)
		}
	}
}

func (f *Fleet) remove(u *upstream) {
	delete(f.byID, u.ID)
	s := f.service(u.Service)
	s.upstreams = slices.DeleteFunc(s.upstreams, func(o *upstream) bool { return o == u })
}

// Running returns how many attempts of this instance run at upstreams of the
// service whose version the filter accepts.
func (f *Fleet) Running(serviceName string, accepts func(version string) bool) int {
	n := 0
	for _, u := range f.service(serviceName).upstreams {
		if accepts(u.Version) {
			n += u.running
		}
	}
	return n
}

// open reports whether the upstream may take new work at all.
func (f *Fleet) open(now time.Time, u *upstream) bool {
	return !u.Draining && !u.gone(now) && !f.out[u.Domain]
}

// coldShare returns how many requests this instance may send to a cold upstream
// in any second. The shares of all instances add up to at most the rate: either
// each has the rate divided by their number, rounded down, or, where that is
// below one, as many of them as the rate allows have one each.
func (f *Fleet) coldShare(u *upstream, perSecond float64) int {
	share := int(math.Floor(perSecond)) / len(f.instances)
	if share > 0 {
		return share
	}
	ahead := 0
	own := score(u.ID, f.instance)
	for _, name := range f.instances {
		if name != f.instance && score(u.ID, name) > own {
			ahead++
		}
	}
	if ahead < int(math.Floor(perSecond)) {
		return 1
	}
	return 0
}
