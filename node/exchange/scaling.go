package exchange

import (
	"cmp"
	"slices"
	"time"

	"banyanyard/core/load"
	"banyanyard/core/placement"
	"banyanyard/core/routing"
	"banyanyard/core/scaling"
	"banyanyard/core/trial"
)

// Demand returns what this instance sees of the services whose upstreams are ordered, or
// nil if there are none.
func (r *Router) Demand() map[string]load.Demand { return r.demands.demand(time.Now()) }

// HandleDemand takes what the instances of each failure domain see of these services.
func (r *Router) HandleDemand(all []load.DomainDemand) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, d := range all {
		r.domainDemand.Put(now, d)
	}
}

// Views implements scaling.Source.
func (r *Router) Views(now time.Time) []scaling.View {
	table := r.table.Load()
	if table == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	demands := r.domainDemand.All(now)
	var views []scaling.View
	for i := range table.Services {
		if s := &table.Services[i]; s.Scaling != nil {
			views = append(views, r.view(now, s, demands))
		}
	}
	return views
}

// view returns the state of a service. The caller holds mu.
func (r *Router) view(now time.Time, s *routing.Service, demands []load.DomainDemand) scaling.View {
	v := scaling.View{
		Service: s.Name,
		Bounds:  scaling.Bounds{Min: s.Scaling.Min, Max: s.Scaling.Max, StartTime: s.Scaling.StartTime, ColdTime: s.Scaling.ColdTime},
	}
	census := r.fleet.Census(now, s.Name)
	slots, serving := 0, 0
	for _, c := range census {
		slots += c.Slots
		serving += c.Serving
	}
	v.Slots = float64(slots) / float64(max(serving, 1))
	v.RollingOut = r.isRollingOut(s.Name, census)
	v.Domains = domainsOf(s.Name, census, demands)
	return v
}

// domainsOf joins the upstreams of a service with the demand by failure domain.
func domainsOf(service string, census []placement.Census, demands []load.DomainDemand) []scaling.Domain {
	byName := map[string]*scaling.Domain{}
	var domains []*scaling.Domain
	domain := func(name string) *scaling.Domain {
		d := byName[name]
		if d == nil {
			d = &scaling.Domain{Name: name, Age: noDemandAge}
			byName[name] = d
			domains = append(domains, d)
		}
		return d
	}
	for _, c := range census {
		d := domain(c.Domain)
		d.Out, d.Serving, d.Cold, d.Leaving = c.Disabled, c.Serving, c.Cold, c.Leaving
	}
	for _, one := range demands {
		if demand, ok := one.Services[service]; ok {
			d := domain(one.Domain)
			d.Demand, d.Age = demand, one.Age
		}
	}
	slices.SortFunc(domains, func(a, b *scaling.Domain) int { return cmp.Compare(a.Name, b.Name) })
	var all []scaling.Domain
	for _, d := range domains {
		all = append(all, *d)
	}
	return all
}

// noDemandAge is the age of the demand of a failure domain that has reported none.
const noDemandAge = time.Hour

// isRollingOut reports whether upstreams of two versions run because of an order to move
// the service. The caller holds mu.
func (r *Router) isRollingOut(service string, census []placement.Census) bool {
	t := r.trials[service]
	if t == nil {
		t = r.withdrawnTrials[service]
	}
	if t == nil {
		return false
	}
	if state, _ := t.State(); state == trial.Running && r.trials[service] != nil {
		return true
	}
	versions := map[string]bool{}
	for _, c := range census {
		for _, v := range c.Versions {
			versions[v] = true
		}
	}
	return versions[t.Order.To] && len(versions) > 1
}
