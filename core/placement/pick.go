package placement

import (
	"cmp"
	"slices"
	"time"
)

// loadBoundFactor bounds the load for rendezvous hashing: once an upstream has
// this many times the average number of this instance's running attempts,
// requests with the same affinity key go to the next one in the key's order.
const loadBoundFactor = 1.2

// minLoadBound is the number of running attempts below which an upstream keeps
// getting requests with the same affinity key, however low the average is.
const minLoadBound = 2

// Criteria say which upstreams suit an attempt.
type Criteria struct {
	Service string
	// AffinityKey is shared by requests that profit from running at the same
	// upstream; empty if no other request does.
	AffinityKey    string
	PromptWork     float64                   // prefill work, in prompt tokens of the largest model; 0 without a prompt
	Exclude        []string                  // IDs of upstreams that have already had the request
	AcceptsVersion func(version string) bool // nil accepts every version
	Only           string                    // ID of the upstream that may get the attempt; empty if any may
	// Isolate makes the attempt run where the fewest others do, because it may crash the
	// upstream.
	Isolate bool
}

// A Slot is the capacity that one attempt uses at an upstream. It must be passed
// to Fleet.Release exactly once.
type Slot struct {
	Upstream Upstream
	Cold     bool // the upstream was cold when picked
	Running  int  // running attempts of this instance there, including this one
	// Load is the estimated number of attempts of all instances there, including this
	// one; -1 if only this instance's are known. LoadAge is the age of the estimate.
	Load    float64
	LoadAge time.Duration

	u          *upstream
	pickedAt   time.Time
	unanswered int  // attempts of this instance there without an answer, including this one
	answered   bool // the answer has begun
}

// A PickResult says whether an upstream was picked and, if not, why.
type PickResult uint8

// The results of Fleet.Pick.
const (
	Picked PickResult = iota
	// NoUpstream means that no upstream that meets the criteria accepts new
	// attempts.
	NoUpstream
	// UpstreamsBusy means that each upstream that meets the criteria is
	// unreachable or at a limit; see ReadyIn.
	UpstreamsBusy
)

// String returns the name of the result in logs.
func (r PickResult) String() string { return [...]string{"picked", "no-upstream", "upstreams-busy"}[r] }

// Pick chooses an upstream that meets the criteria and counts an attempt there.
// Outliers and upstreams that just refused a request are used only if no other
// is left; those that name a limit go first while they have less load. Requests
// with an affinity key go to the first upstream in the key's order that is not
// overloaded, others to the least loaded one. The slot is nil unless the result is
// Picked.
func (f *Fleet) Pick(now time.Time, c Criteria) (*Slot, PickResult) {
	s := f.services[c.Service]
	if s == nil {
		return nil, NoUpstream
	}
	candidates := make([]*upstream, 0, len(s.upstreams))
	for _, u := range s.upstreams {
		if f.meets(now, u, c) {
			candidates = append(candidates, u)
		}
	}
	if len(candidates) == 0 {
		return nil, NoUpstream
	}
	available := slices.DeleteFunc(candidates, func(u *upstream) bool {
		return u.isDown(now) || now.Before(f.domainHealth(u.FailureDomain).downUntil) || f.wait(now, s, u) > 0
	})
	if len(available) == 0 {
		return nil, UpstreamsBusy
	}
	limit := s.outlierLimit()
	available = prefer(available, func(u *upstream) bool { return !u.isOutlier(now, limit) })
	available = prefer(available, func(u *upstream) bool { return !now.Before(u.refusingUntil) })
	if c.Isolate {
		return f.reserve(now, f.emptiest(now, available)), Picked
	}
	part := s.partition.upstreamsFor(now, available, c.PromptWork)
	if f.usesSharedLoad(now, available) {
		part = f.relieve(part, available)
	}
	available = part
	return f.reserve(now, f.choose(now, available, c.AffinityKey)), Picked
}

// choose returns one of the upstreams by their load and the affinity key.
func (f *Fleet) choose(now time.Time, us []*upstream, key string) *upstream {
	shared := f.usesSharedLoad(now, us)
	us = preferLimited(us, shared)
	switch {
	case key != "" && shared:
		return f.pickByAffinity(f.preferLocal(us, (*upstream).relativeLoad, localSlackLoad), f.groupKey(key, us))
	case key != "":
		own := func(u *upstream) float64 { return float64(u.runningAttempts) }
		return mostPreferred(f.preferLocal(us, own, localSlackAttempts), key)
	case shared:
		return f.pickByLoad(us)
	}
	return f.leastLoaded(us)
}

// preferLimited returns the upstreams that name a limit if they have less load than the
// others, or all. Only the instances that hold a part of a limit may use it; if these
// chose among all upstreams alike, most of it would be lost.
func preferLimited(us []*upstream, shared bool) []*upstream {
	load := func(u *upstream) float64 { return float64(u.runningAttempts) }
	if shared {
		load = (*upstream).relativeLoad
	}
	limited := slices.DeleteFunc(slices.Clone(us), func(u *upstream) bool { return u.named.limit.Rate == 0 })
	if len(limited) == 0 || len(limited) == len(us) || mean(limited, load) >= mean(us, load) {
		return us
	}
	return limited
}

// meets reports whether the upstream accepts new attempts and meets the criteria.
func (f *Fleet) meets(now time.Time, u *upstream, c Criteria) bool {
	return f.acceptsWork(now, u) && (c.Only == "" || c.Only == u.ID) && (c.AcceptsVersion == nil || c.AcceptsVersion(u.Version)) && !slices.Contains(c.Exclude, u.ID)
}

// prefer returns the upstreams that satisfy ok, or all if none does.
func prefer(us []*upstream, ok func(*upstream) bool) []*upstream {
	preferred := make([]*upstream, 0, len(us))
	for _, u := range us {
		if ok(u) {
			preferred = append(preferred, u)
		}
	}
	if len(preferred) == 0 {
		return us
	}
	return preferred
}

// leastLoaded returns the upstream with the fewest running attempts of this
// instance. Ties go to this instance's failure domain, then to the upstream that
// has had the fewest attempts in total.
func (f *Fleet) leastLoaded(us []*upstream) *upstream {
	return slices.MinFunc(us, func(a, b *upstream) int {
		if a.runningAttempts != b.runningAttempts {
			return a.runningAttempts - b.runningAttempts
		}
		if sameDomain := a.FailureDomain == f.domain; sameDomain != (b.FailureDomain == f.domain) {
			if sameDomain {
				return -1
			}
			return 1
		}
		return a.totalAttempts - b.totalAttempts
	})
}

// emptiest returns the upstream with the fewest running attempts, of all instances if
// their load is known.
func (f *Fleet) emptiest(now time.Time, us []*upstream) *upstream {
	if f.usesSharedLoad(now, us) {
		return slices.MinFunc(us, func(a, b *upstream) int { return cmp.Compare(a.load(), b.load()) })
	}
	return f.leastLoaded(us)
}

// mostPreferred returns the first upstream in the key's rendezvous order that is
// within the load bound.
func mostPreferred(us []*upstream, key string) *upstream {
	running := 1
	for _, u := range us {
		running += u.runningAttempts
	}
	bound := max(minLoadBound, int(loadBoundFactor*float64(running)/float64(len(us)))+1)
	var best *upstream
	var bestScore uint64
	for _, u := range us {
		if u.runningAttempts >= bound {
			continue
		}
		if s := rendezvousScore(key, u.ID); best == nil || s > bestScore {
			best = u
			bestScore = s
		}
	}
	return best
}

func (f *Fleet) reserve(now time.Time, u *upstream) *Slot {
	f.domainHealth(u.FailureDomain).noteAttempt(now, u.ID)
	u.runningAttempts++
	u.unanswered++
	u.totalAttempts++
	u.lastAttempt = now
	u.startedSince++
	f.spend(now, f.service(u.Service), u)
	slot := &Slot{Upstream: u.Upstream, Cold: f.isCold(now, u), Running: u.runningAttempts, Load: -1, u: u, pickedAt: now, unanswered: u.unanswered}
	if f.usesSharedLoad(now, []*upstream{u}) {
		slot.Load = u.load()
		slot.LoadAge = now.Sub(f.loadSetAt)
	}
	return slot
}

// An Outcome says how an attempt ended. It drives health tracking.
type Outcome uint8

// The outcomes.
const (
	// Completed means that a complete answer arrived, other than a failure.
	Completed Outcome = iota
	// Canceled means that the attempt ended for a reason that says nothing about
	// the upstream, for example because the caller disconnected.
	Canceled
	// Refused means that the upstream reported that it did not run the request.
	Refused
	// Misdirected means that another upstream answered at the address.
	Misdirected
	// Unreachable means that no connection could be opened before the timeout.
	Unreachable
	// Silent means that data sent was not acknowledged before the timeout.
	Silent
	// Closed means that the connection was refused or reset, so that the host is
	// reachable.
	Closed
	// Failed means that the upstream ran the request and reported a failure.
	Failed
	// Broken means that the answer was truncated, missing or malformed.
	Broken
	// Unsent means that the attempt was not sent for a reason that says nothing about the
	// upstream, for example because another instance did not open a connection to it.
	Unsent
)

// String returns the name of the outcome in logs.
func (o Outcome) String() string {
	return [...]string{"answered", "abandoned", "refused", "misdirected", "unreachable", "silent", "closed", "failed", "broken", "unsent"}[o]
}

// ConnectionFailed reports whether the attempt ended because no connection could be opened, or
// the one that it used has died.
func (o Outcome) ConnectionFailed() bool { return o == Unreachable || o == Silent || o == Closed }

// IsUnreachable reports whether the upstream of an attempt is believed to be
// unreachable or gone, which explains an answer that was cut off.
func (f *Fleet) IsUnreachable(now time.Time, slot *Slot) bool {
	return slot.u.isDown(now) || slot.u.isGone(now) || now.Before(f.domainHealth(slot.u.FailureDomain).downUntil)
}

// Release ends an attempt and updates the health of its upstream, service and
// failure domain.
func (f *Fleet) Release(now time.Time, slot *Slot, o Outcome) {
	u := slot.u
	u.runningAttempts--
	if !slot.answered {
		u.unanswered--
	}
	s := f.service(u.Service)
	switch o {
	case Canceled, Unsent:
		return
	case Completed, Failed:
		u.connectFailures = 0
		u.downUntil = time.Time{}
		f.domainHealth(u.FailureDomain).noteResponse()
	case Refused:
		u.refusingUntil = now.Add(refusedPause)
		f.recordRefusal(now, u)
		f.domainHealth(u.FailureDomain).noteResponse()
	case Misdirected:
		u.downUntil = now.Add(maxBackoff)
		return
	case Unreachable, Silent:
		u.noteUnreachable(now)
		f.domainHealth(u.FailureDomain).noteUnreachable(now, u.ID)
		return
	case Closed:
		u.noteUnreachable(now)
		return
	}
	failed := o == Failed || o == Broken
	weight := errorRateWeight
	if !u.lastOutcome.IsZero() && now.Sub(u.lastOutcome) >= outlierRetestInterval {
		weight = retestWeight
	}
	u.lastOutcome = now
	u.errorRate.recordWeighted(failed, weight)
	s.errorRate.record(failed)
}
