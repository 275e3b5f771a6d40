package placement

import "time"

const (
	// domainFailureThreshold is the number of different upstreams of a failure
	// domain that must be unreachable in a row before the domain counts as
	// unreachable. A single one may just have stopped.
	domainFailureThreshold = 2
	// minDomainBackoff and maxDomainBackoff bound the exponential backoff after
	// which one attempt probes an unreachable domain.
	minDomainBackoff = 500 * time.Millisecond
	maxDomainBackoff = 2 * time.Second
)

// A domainHealth tracks whether the upstreams of a failure domain can be
// reached.
type domainHealth struct {
	lastFailed string // ID of the upstream that was unreachable last
	failures   int    // different upstreams unreachable in a row since the last answer
	outages    int    // times the domain was found unreachable since the last answer
	probing    string // ID of the upstream that is being probed; empty if none
	downUntil  time.Time
}

// noteUnreachable records that an upstream of the domain could not be reached or
// did not acknowledge a request.
func (h *domainHealth) noteUnreachable(now time.Time, upstream string) {
	if h.lastFailed != upstream {
		h.lastFailed = upstream
		h.failures++
	}
	if h.failures < domainFailureThreshold || now.Before(h.downUntil) && h.probing != upstream {
		return
	}
	h.probing = ""
	h.downUntil = now.Add(min(minDomainBackoff<<min(h.outages, 8), maxDomainBackoff))
	h.outages++
}

// noteResponse records that an upstream of the domain responded.
func (h *domainHealth) noteResponse() { *h = domainHealth{} }

// noteAttempt makes an attempt in a domain that was unreachable its probe: other
// attempts avoid the domain until the outcome is known or minDomainBackoff has
// passed.
func (h *domainHealth) noteAttempt(now time.Time, upstream string) {
	if h.outages > 0 {
		h.probing = upstream
		h.downUntil = now.Add(minDomainBackoff)
	}
}

// ForgetUnreachable forgets that upstreams at the addresses that match could not be reached, and
// their failure domains.
func (f *Fleet) ForgetUnreachable(matches func(address string) bool) {
	for _, u := range f.byID {
		if matches(u.Address) {
			u.connectFailures = 0
			u.downUntil = time.Time{}
			f.domainHealth(u.FailureDomain).noteResponse()
		}
	}
}

// Addresses returns the addresses of the upstreams that are registered.
func (f *Fleet) Addresses() []string {
	addresses := make([]string, 0, len(f.byID))
	for _, u := range f.byID {
		if u.goneAt.IsZero() {
			addresses = append(addresses, u.Address)
		}
	}
	return addresses
}

// AcceptsWorkAt reports whether the upstream is registered at the address and may get new
// attempts.
func (f *Fleet) AcceptsWorkAt(now time.Time, id, address string) bool {
	u := f.byID[id]
	return u != nil && u.Address == address && f.acceptsWork(now, u)
}

func (f *Fleet) domainHealth(domain string) *domainHealth {
	h := f.domainHealths[domain]
	if h == nil {
		h = &domainHealth{}
		f.domainHealths[domain] = h
	}
	return h
}
