package admission

import (
	"math"
	"slices"
	"time"
)

const (
	// recentHalfLife and usualHalfLife are the times after which use counts half as recent and
	// as usual.
	recentHalfLife = 4 * time.Second
	usualHalfLife  = 2 * time.Minute
	// minBeyond is the multiple of its usual use below which an organisation is within its
	// share: chance alone makes use vary.
	minBeyond = 3.0
	// requestWork is the work of a request without a prompt, in tokens.
	requestWork = 500.0
	// minRecentRequests is the recent use, in requests of mean work, from which on an
	// organisation may be beyond its share.
	minRecentRequests = 8.0
	// maxOrganisations bounds the organisations whose use is kept.
	maxOrganisations = 256
)

// shares divide the room among organisations by weighted max-min fairness: each gets what it
// asks for up to a level that is the same multiple of its usual use for all.
type shares struct {
	uses     map[string]*use
	requests decayed
	total    decayed
}

// A use is what an organisation has asked for.
type use struct {
	recent, usual decayed
	since         time.Time
}

func (s *shares) record(now time.Time, organisation string, work float64) {
	if organisation == "" {
		return
	}
	u := s.uses[organisation]
	if u == nil {
		if s.uses == nil {
			s.uses = map[string]*use{}
		}
		s.forgetIdle(now)
		if len(s.uses) >= maxOrganisations {
			return
		}
		u = &use{since: now}
		s.uses[organisation] = u
	}
	work += requestWork
	u.recent.add(now, work, recentHalfLife)
	u.usual.add(now, work, usualHalfLife)
	s.requests.add(now, 1, recentHalfLife)
	s.total.add(now, work, recentHalfLife)
}

// forgetIdle forgets organisations that have used nothing for long.
func (s *shares) forgetIdle(now time.Time) {
	for name, u := range s.uses {
		if now.Sub(u.usual.asOf) > usualHalfLife {
			delete(s.uses, name)
		}
	}
}

// ratio returns the recent use of an organisation as a multiple of its usual use.
func (u *use) ratio(now time.Time) float64 {
	// Before usualHalfLife has passed, the sums cover the time since the first use only.
	known := now.Sub(u.since).Seconds()
	span := func(halfLife time.Duration) float64 {
		tau := halfLife.Seconds() / math.Ln2
		return tau * (1 - math.Exp(-known/tau))
	}
	usual := u.usual.at(now, usualHalfLife) / max(span(usualHalfLife), 1)
	recent := u.recent.at(now, recentHalfLife) / max(span(recentHalfLife), 1)
	if usual == 0 {
		return 0
	}
	return recent / usual
}

// beyond reports whether an organisation has asked for more than its share while the demand is
// a multiple of what there is room for.
func (s *shares) beyond(now time.Time, organisation string, demand float64) bool {
	u := s.uses[organisation]
	if u == nil || demand <= freePressure || len(s.uses) < 2 {
		return false
	}
	requests := s.requests.at(now, recentHalfLife)
	if requests == 0 || u.recent.at(now, recentHalfLife) < minRecentRequests*s.total.at(now, recentHalfLife)/requests {
		return false
	}
	ratio := u.ratio(now)
	return ratio >= minBeyond && ratio > s.level(now, demand)
}

// level returns the multiple of their usual use up to which organisations get what they ask for.
func (s *shares) level(now time.Time, demand float64) float64 {
	type part struct{ ratio, weight float64 }
	var parts []part
	room, weights := 0.0, 0.0
	for _, u := range s.uses {
		recent := u.recent.at(now, recentHalfLife)
		if ratio := u.ratio(now); ratio > 0 {
			parts = append(parts, part{ratio, recent / ratio})
			weights += recent / ratio
			room += recent
		}
	}
	room /= max(demand, 1)
	slices.SortFunc(parts, func(a, b part) int {
		if a.ratio < b.ratio {
			return -1
		}
		return 1
	})
	for _, p := range parts {
		if p.ratio*weights >= room {
			return room / weights
		}
		room -= p.ratio * p.weight
		weights -= p.weight
	}
	return math.Inf(1)
}

// A decayed sum counts what was added longer ago less. The zero value is 0.
type decayed struct {
	sum  float64
	asOf time.Time
}

func (d *decayed) at(now time.Time, halfLife time.Duration) float64 {
	if d.sum == 0 {
		return 0
	}
	return d.sum * math.Exp2(-now.Sub(d.asOf).Seconds()/halfLife.Seconds())
}

func (d *decayed) add(now time.Time, x float64, halfLife time.Duration) {
	d.sum, d.asOf = d.at(now, halfLife)+x, now
}
