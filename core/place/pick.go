package place

import (
	"slices"
	"time"
)

// boundFactor is how much more than the average this instance holds at one
// upstream before requests with the same key go to the next.
const boundFactor = 1.2

// leastBound is the number of attempts at one upstream up to which requests
// with the same key stay together, however little this instance holds.
const leastBound = 2

// A Need describes an attempt.
type Need struct {
	Service string
	// Key is shared by requests that profit from the same upstream; empty when
	// none does.
	Key     string
	Work    float64                   // of reading the prompt, in tokens of the largest model; 0 without a prompt
	Avoid   []string                  // upstreams that have had the request
	Accepts func(version string) bool // nil accepts every version
}

// A Slot is an attempt's place at an upstream. It must be released once.
type Slot struct {
	Upstream Upstream
	Cold     bool // the upstream is cold
	Running  int  // attempts of this instance there, this one included

	u *upstream
}

// A Verdict says why no upstream was picked.
type Verdict uint8

// The verdicts.
const (
	Picked Verdict = iota
	// None: no upstream of the service takes new work.
	None
	// Busy: those that do are cold, full, or cannot be reached.
	Busy
)

// String returns the name of the verdict in logs.
func (v Verdict) String() string { return [...]string{"picked", "no-upstream", "upstreams-busy"}[v] }

// Pick chooses an upstream.
func (f *Fleet) Pick(now time.Time, n Need) (*Slot, Verdict) {
	s := f.services[n.Service]
	if s == nil {
		return nil, None
	}
	open := make([]*upstream, 0, len(s.upstreams))
	for _, u := range s.upstreams {
		if f.open(now, u) && (n.Accepts == nil || n.Accepts(u.Version)) && !slices.Contains(n.Avoid, u.ID) {
			open = append(open, u)
		}
	}
	if len(open) == 0 {
		return nil, None
	}
	able := slices.DeleteFunc(open, func(u *upstream) bool {
		return u.down(now) || now.Before(f.path(u.Domain).downUntil) || !f.bears(now, s, u)
	})
	if len(able) == 0 {
		return nil, Busy
	}
	able = prefer(able, func(u *upstream) bool { return !u.suspect(s) })
	able = prefer(able, func(u *upstream) bool { return !now.Before(u.fullUntil) })
	able = s.lanes.of(now, able, n.Work)
	u := f.least(able)
	if n.Key != "" {
		u = byKey(able, n.Key)
	}
	return f.take(now, u), Picked
}

// bears reports whether a cold upstream bears another request of this instance
// now.
func (f *Fleet) bears(now time.Time, s *service, u *upstream) bool {
	if s.coldRate == 0 || !u.cold(now) {
		return true
	}
	return int(u.sent.Sum(now)) < f.coldShare(u, s.coldRate)
}

// prefer returns the upstreams that satisfy ok, or all when none does.
func prefer(us []*upstream, ok func(*upstream) bool) []*upstream {
	good := make([]*upstream, 0, len(us))
	for _, u := range us {
		if ok(u) {
			good = append(good, u)
		}
	}
	if len(good) == 0 {
		return us
	}
	return good
}

// least returns the upstream with the fewest attempts of this instance, of its
// own failure domain where several have as few.
func (f *Fleet) least(us []*upstream) *upstream {
	return slices.MinFunc(us, func(a, b *upstream) int {
		if a.running != b.running {
			return a.running - b.running
		}
		if near := a.Domain == f.domain; near != (b.Domain == f.domain) {
			if near {
				return -1
			}
			return 1
		}
		return a.sentAll - b.sentAll
	})
}

// byKey returns the first upstream in the key's order that holds little more
// than the average.
func byKey(us []*upstream, key string) *upstream {
	running := 1
	for _, u := range us {
		running += u.running
	}
	bound := max(leastBound, int(boundFactor*float64(running)/float64(len(us)))+1)
	var best *upstream
	var bestScore uint64
	for _, u := range us {
		if u.running >= bound {
			continue
		}
		if s := score(key, u.ID); best == nil || s > bestScore {
			best = u
			bestScore = s
		}
	}
	return best
}

func (f *Fleet) take(now time.Time, u *upstream) *Slot {
	f.path(u.Domain).try(now, u.ID)
	u.running++
	u.sentAll++
	u.sent.Add(now, 1)
	return &Slot{Upstream: u.Upstream, Cold: u.cold(now), Running: u.running, u: u}
}

// An Outcome says how an attempt ended.
type Outcome uint8

// The outcomes.
const (
	// Answered: a whole, good answer.
	Answered Outcome = iota
	// Abandoned: the caller left, or another reason that says nothing of the
	// upstream.
	Abandoned
	// Refused: the upstream said that it did not run the request.
	Refused
	// Misdirected: another upstream has the address.
	Misdirected
	// Unreachable: no connection could be opened in its time.
	Unreachable
	// Silent: what was sent was not acknowledged in its time.
	Silent
	// Closed: connections are refused or reset; its machine is there.
	Closed
	// Failed: the upstream ran the request and reported a failure.
	Failed
	// Broken: the answer broke off, never came, or was not an answer.
	Broken
)

// String returns the name of the outcome in logs.
func (o Outcome) String() string {
	return [...]string{"answered", "abandoned", "refused", "misdirected", "unreachable", "silent", "closed", "failed", "broken"}[o]
}

// Lost reports whether the upstream of an attempt cannot be reached, as far as
// is known, so that what broke off there did so for that reason.
func (f *Fleet) Lost(now time.Time, slot *Slot) bool {
	return slot.u.down(now) || slot.u.gone(now) || now.Before(f.path(slot.u.Domain).downUntil)
}

// Release ends an attempt.
func (f *Fleet) Release(now time.Time, slot *Slot, o Outcome) {
	u := slot.u
	u.running--
	s := f.service(u.Service)
	switch o {
	case Abandoned:
		return
	case Answered, Failed:
		u.failures = 0
		u.downUntil = time.Time{}
		f.path(u.Domain).answered()
	case Refused:
		u.fullUntil = now.Add(fullPause)
		f.path(u.Domain).answered()
	case Misdirected:
		u.downUntil = now.Add(longestPause)
		return
	case Unreachable, Silent:
		u.unreachable(now)
		f.path(u.Domain).unreachable(now, u.ID)
		return
	case Closed:
		u.unreachable(now)
		return
	}
	bad := o == Failed || o == Broken
	u.errors.note(bad)
	s.errors.note(bad)
}
