package suspect

import "time"

const (
	// soundPeriod is how long a complete answer speaks for its traits: crashes up to
	// that time after it do not count against them.
	soundPeriod = 10 * time.Second
	// maxAnsweredPerOrganisation bounds the sets of traits with recent answers that
	// are kept for each organisation.
	maxAnsweredPerOrganisation = 128
	// maxOrganisations bounds the organisations for which such sets are kept.
	maxOrganisations = 512
)

// answers holds the sets of traits of requests that were answered completely. The
// zero value is empty.
type answers struct {
	byOrganisation map[string]map[string]*answered // by organisation and key of the traits
}

type answered struct {
	traits Traits
	last   time.Time
}

// record records an answer to a request with the traits, which do not include those
// of that request alone.
func (a *answers) record(now time.Time, traits Traits) {
	organisation := traits.value(organisationPrefix)
	sets := a.byOrganisation[organisation]
	if sets == nil {
		if len(a.byOrganisation) >= maxOrganisations {
			a.expire(now)
		}
		if len(a.byOrganisation) >= maxOrganisations {
			return
		}
		if a.byOrganisation == nil {
			a.byOrganisation = map[string]map[string]*answered{}
		}
		sets = map[string]*answered{}
		a.byOrganisation[organisation] = sets
	}
	key := traits.String()
	if set := sets[key]; set != nil {
		set.last = now
		return
	}
	if len(sets) >= maxAnsweredPerOrganisation {
		removeOldest(sets)
	}
	sets[key] = &answered{traits: traits, last: now}
}

func removeOldest(sets map[string]*answered) {
	oldestKey := ""
	for key, set := range sets {
		if oldestKey == "" || set.last.Before(sets[oldestKey].last) {
			oldestKey = key
		}
	}
	delete(sets, oldestKey)
}

// newest returns the newest answered set of traits that includes the given ones, or nil.
func (a *answers) newest(set Traits) *answered {
	var newest *answered
	for organisation, sets := range a.byOrganisation {
		if named := set.value(organisationPrefix); named != "" && named != organisation {
			continue
		}
		for _, s := range sets {
			if (newest == nil || s.last.After(newest.last)) && s.traits.HasAll(set) {
				newest = s
			}
		}
	}
	return newest
}

// others returns the number of sets of the same service with an answer since the
// given time that lack a trait of the set.
func (a *answers) others(since time.Time, set Traits) int {
	service := set.value(servicePrefix)
	n := 0
	for _, sets := range a.byOrganisation {
		for _, s := range sets {
			if !s.last.Before(since) && s.traits.value(servicePrefix) == service && !s.traits.HasAll(set) {
				n++
			}
		}
	}
	return n
}

// expire removes sets without an answer within twice soundPeriod.
func (a *answers) expire(now time.Time) {
	for organisation, sets := range a.byOrganisation {
		for key, s := range sets {
			if now.Sub(s.last) > 2*soundPeriod {
				delete(sets, key)
			}
		}
		if len(sets) == 0 {
			delete(a.byOrganisation, organisation)
		}
	}
}
