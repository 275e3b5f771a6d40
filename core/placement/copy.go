package placement

import (
	"maps"
	"slices"
)

// Copy returns an independent copy of what is known of one service, with a random source of
// its own. Choices there change nothing here.
func (f *Fleet) Copy(serviceName string) *Fleet {
	c := New(f.instance, f.domain)
	c.random = newRandom("copy at " + f.instance)
	c.instanceNames = slices.Clone(f.instanceNames)
	c.disabledDomains = maps.Clone(f.disabledDomains)
	c.warmthUnknown = maps.Clone(f.warmthUnknown)
	c.loadSetAt = f.loadSetAt
	c.memberRound, c.firstRegistered = f.memberRound, f.firstRegistered
	for domain, h := range f.domainHealths {
		health := *h
		c.domainHealths[domain] = &health
	}
	original := f.services[serviceName]
	if original == nil {
		return c
	}
	s := *original
	s.upstreams = slices.Clone(original.upstreams)
	for i, o := range original.upstreams {
		u := *o
		s.upstreams[i] = &u
		c.byID[u.ID] = &u
	}
	c.services[serviceName] = &s
	return c
}
