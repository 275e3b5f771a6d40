package placement

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxDraws and minDraws bound how often Explain repeats a choice to find out how probable
	// its results are, and maxCopied bounds the upstreams that are copied for that.
	maxDraws  = 200
	minDraws  = 16
	maxCopied = 5_000
)

// An Exclusion says why an upstream does not get an attempt.
type Exclusion string

// The exclusions. Upstreams that are avoided get attempts if no other is left.
const (
	Draining          Exclusion = "draining"
	Gone              Exclusion = "gone"
	DomainOut         Exclusion = "failure-domain-out"
	OtherVersion      Exclusion = "other-version"
	AlreadyTried      Exclusion = "already-tried"
	Down              Exclusion = "unreachable"
	DomainUnreachable Exclusion = "failure-domain-unreachable"
	Pausing           Exclusion = "pausing"
	ColdLimit         Exclusion = "cold-limit"
	NamedLimitReached Exclusion = "named-limit"
	NoPlace           Exclusion = "brittle" // this instance has no free place there
	AvoidedOutlier    Exclusion = "outlier"
	AvoidedRefusing   Exclusion = "refused-just-now"
)

// Avoids reports whether the upstream gets attempts if no other is left.
func (x Exclusion) Avoids() bool { return x == AvoidedOutlier || x == AvoidedRefusing }

// A Rule says what decides among the upstreams that are left.
type Rule string

// The rules.
const (
	ByIsolation Rule = "fewest-running" // the request may crash its upstream
	ByAffinity  Rule = "affinity"       // the first in the order of what is shared, within its load
	ByLoad      Rule = "load-of-all"    // the less loaded of two, by the load of all instances
	ByOwn       Rule = "own-attempts"   // the fewest attempts of this instance
)

// A Candidate is an upstream of the service and what speaks against it.
type Candidate struct {
	Upstream Upstream
	Excluded Exclusion     // empty if it may get the attempt
	Wait     time.Duration // until Excluded ends; 0 if that is not known, negative if it never does by itself
	Chance   float64       // that it would be picked, from 0 to 1
	Cold     bool
	Running  int           // attempts of this instance there
	Load     float64       // estimated attempts of all instances there, or Running if they are not known
	LoadAge  time.Duration // of the news that Load rests on; 0 if there was none
}

// An Explanation says which upstream would be picked now, and why.
type Explanation struct {
	Result     PickResult
	ReadyIn    time.Duration // if the upstreams are busy, until a limit lets an attempt pass; negative for never
	Rule       Rule          // empty unless the result is Picked
	Draws      int           // choices that the chances rest on
	NewsKnown  bool          // the load of all instances is known
	Candidates []Candidate   // the most probable first
}

// Explain tells what Pick would do now. It changes nothing: the choice is made on copies.
func (f *Fleet) Explain(now time.Time, c Criteria) Explanation {
	n := 0
	if s := f.services[c.Service]; s != nil {
		n = len(s.upstreams)
	}
	return f.explain(now, c, max(minDraws, min(maxDraws, maxCopied/max(1, n))))
}

func (f *Fleet) explain(now time.Time, c Criteria, draws int) Explanation {
	base := f.Copy(c.Service)
	s := base.service(c.Service)
	x := Explanation{NewsKnown: len(s.upstreams) > 0 && base.usesSharedLoad(now, s.upstreams)}
	byID := map[string]int{}
	for _, u := range s.upstreams {
		byID[u.ID] = len(x.Candidates)
		x.Candidates = append(x.Candidates, base.candidate(now, s, u, c))
	}
	x.draw(now, f, c, byID, draws)
	switch x.Result {
	case Picked:
		x.Rule = base.rule(now, s, c)
	case UpstreamsBusy:
		x.ReadyIn = -1
		if ready, ok := base.ReadyIn(now, c); ok {
			x.ReadyIn = ready
		}
	}
	slices.SortStableFunc(x.Candidates, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(b.Chance, a.Chance), cmp.Compare(a.Excluded, b.Excluded))
	})
	return x
}

// draw repeats the choice on copies of the fleet.
func (x *Explanation) draw(now time.Time, f *Fleet, c Criteria, byID map[string]int, draws int) {
	random := newRandom("explanation at " + f.instance)
	for range draws {
		fleet := f.Copy(c.Service)
		fleet.random = random
		var slot *Slot
		if slot, x.Result = fleet.Pick(now, c); slot == nil {
			return
		}
		x.Draws++
		x.Candidates[byID[slot.Upstream.ID]].Chance++
	}
	for i := range x.Candidates {
		x.Candidates[i].Chance /= float64(draws)
	}
}

func (f *Fleet) candidate(now time.Time, s *service, u *upstream, c Criteria) Candidate {
	k := Candidate{Upstream: u.Upstream, Cold: f.isCold(now, u), Running: u.runningAttempts}
	k.Excluded, k.Wait = f.exclusion(now, s, u, c)
	k.Load = float64(u.runningAttempts)
	if f.usesSharedLoad(now, []*upstream{u}) {
		k.Load, k.LoadAge = u.load(), now.Sub(f.loadSetAt)
	}
	return k
}

// exclusion returns what keeps an attempt from the upstream, and for how long.
func (f *Fleet) exclusion(now time.Time, s *service, u *upstream, c Criteria) (Exclusion, time.Duration) {
	if !f.meets(now, u, c) {
		return f.unmet(now, u, c)
	}
	domain := f.domainHealth(u.FailureDomain)
	switch {
	case u.isDown(now):
		return Down, u.downUntil.Sub(now)
	case now.Before(domain.downUntil):
		return DomainUnreachable, domain.downUntil.Sub(now)
	}
	if wait := f.wait(now, s, u); wait > 0 {
		return f.reachedLimit(now, s, u), finite(wait)
	}
	switch {
	case u.isOutlier(now, s.outlierLimit()):
		return AvoidedOutlier, u.lastAttempt.Add(outlierRetestInterval).Sub(now)
	case now.Before(u.refusingUntil):
		return AvoidedRefusing, u.refusingUntil.Sub(now)
	}
	return "", 0
}

// unmet returns the criterion that the upstream does not meet.
func (f *Fleet) unmet(now time.Time, u *upstream, c Criteria) (Exclusion, time.Duration) {
	switch {
	case u.Draining:
		return Draining, 0
	case u.isGone(now):
		return Gone, 0
	case f.disabledDomains[u.FailureDomain]:
		return DomainOut, 0
	case slices.Contains(c.Exclude, u.ID):
		return AlreadyTried, 0
	}
	return OtherVersion, 0
}

// reachedLimit returns the exclusion that makes an attempt wait the longest.
func (f *Fleet) reachedLimit(now time.Time, s *service, u *upstream) Exclusion {
	longest, found := u.pausedUntil.Sub(now), Pausing
	if u.brittle.notice.Brittle {
		if wait := f.placeWait(now, s, u); wait > max(longest, 0) {
			longest, found = wait, NoPlace
		}
	}
	for _, l := range f.limiters(now, s, u) {
		wait, ok := l.bucket.Wait(now, f.partOf(now, u, l))
		if !ok {
			wait = never
		}
		if wait <= longest {
			continue
		}
		longest, found = wait, NamedLimitReached
		if l == &u.cold {
			found = ColdLimit
		}
	}
	return found
}

// finite returns a wait, and a negative one instead of never.
func finite(wait time.Duration) time.Duration {
	if wait == never {
		return -1
	}
	return wait
}

// rule returns what decides among the upstreams that are left.
func (f *Fleet) rule(now time.Time, s *service, c Criteria) Rule {
	var left []*upstream
	for _, u := range s.upstreams {
		if x, _ := f.exclusion(now, s, u, c); x == "" || x.Avoids() {
			left = append(left, u)
		}
	}
	switch {
	case c.Isolate:
		return ByIsolation
	case c.AffinityKey != "":
		return ByAffinity
	case f.usesSharedLoad(now, left):
		return ByLoad
	}
	return ByOwn
}
