package placement

import (
	"cmp"
	"slices"
	"time"
)

// A Census counts the upstreams of a service in a failure domain.
type Census struct {
	Domain   string
	Disabled bool     // upstreams there get no new attempts
	Serving  int      // upstreams that accept work or would if the domain were not disabled
	Cold     int      // of those, the ones that are cold
	Leaving  int      // upstreams that drain
	Slots    int      // of those that serve
	Versions []string // that serve, sorted
}

// Census counts the upstreams of a service by failure domain, sorted by name.
func (f *Fleet) Census(now time.Time, serviceName string) []Census {
	s := f.services[serviceName]
	if s == nil {
		return nil
	}
	byDomain := map[string]*Census{}
	var domains []*Census
	for _, u := range s.upstreams {
		c := byDomain[u.FailureDomain]
		if c == nil {
			c = &Census{Domain: u.FailureDomain, Disabled: f.disabledDomains[u.FailureDomain]}
			byDomain[u.FailureDomain] = c
			domains = append(domains, c)
		}
		f.count(now, c, u)
	}
	slices.SortFunc(domains, func(a, b *Census) int { return cmp.Compare(a.Domain, b.Domain) })
	var all []Census
	for _, c := range domains {
		slices.Sort(c.Versions)
		all = append(all, *c)
	}
	return all
}

func (f *Fleet) count(now time.Time, c *Census, u *upstream) {
	switch {
	case u.isGone(now):
	case u.Draining:
		c.Leaving++
	default:
		c.Serving++
		c.Slots += u.Slots
		if f.isCold(now, u) {
			c.Cold++
		}
		if !slices.Contains(c.Versions, u.Version) {
			c.Versions = append(c.Versions, u.Version)
		}
	}
}
