package placement

import (
	"math"
	"slices"
	"time"
)

const (
	// minSharedPart is the part of a prompt that must be shared for the prompt to go where
	// that part is kept.
	minSharedPart = 0.3
	// randomCandidates is the number of upstreams that are compared, and thus the multiple of
	// its usual requests that one can get at most.
	randomCandidates = 3
	// minLack is the part of an average failure domain's upstreams that may be missing in one
	// before requests go to others for that.
	minLack = 0.25
	// smallReserve is the multiple of their work that small prompts count for in the division:
	// their callers wait for less, so that their part needs room for peaks.
	smallReserve = 1.2
	// reliefTime is the predicted wait above twice that of most at which a part of the
	// upstreams gets only the requests of its size that fit nowhere else.
	reliefTime = time.Second
	// assignedHalfLife is the time after which work that was given to an upstream counts half.
	assignedHalfLife = 4 * time.Second
)

// choosesByDelay reports whether an attempt goes by predicted delays: if it has a prompt,
// there are so many instances that each sees little of an upstream itself, and the upstreams
// of the service are of different pace. Equal ones are told apart by what they keep of a
// prompt, and each prompt is then read once.
func (f *Fleet) choosesByDelay(c Criteria) bool {
	return c.PromptWork > 0 && len(f.instanceNames) >= minSharedInstances && f.service(c.Service).uneven.holds
}

// chooseByDelay returns the upstream for a prompt. Prompts that share much go to the first
// upstream in the order of what they share, which keeps it, as far as there is headroom. All
// others even out the work that this instance has given to each upstream, in proportion to
// its pace and headroom: each instance does that by itself, so that old news sends no crowd
// anywhere. Upstreams at which attempts of this instance still wait for their first event are
// avoided: nothing else is known as early of a prompt that takes long there. It reports
// whether the upstream is expected to keep what the prompt shares.
func (f *Fleet) chooseByDelay(now time.Time, s *service, us []*upstream, c Criteria) (chosen *upstream, kept bool) {
	us = preferLimited(us, true)
	local := f.local(us)
	crossing := lack(local, us)
	if f.knowsLoad(now) {
		crossing = max(crossing, s.engine.crossing)
	}
	if f.crossingDraw(c.AffinityKey) >= crossing {
		us = local
	}
	large := c.PromptWork >= largePromptWork
	work := s.engine.seconds(c.PromptWork)
	if !large {
		work *= smallReserve
	}
	part := s.partition.divide(now, us, large, work, (*upstream).pace)
	if f.knowsLoad(now) {
		part = f.relievePart(&s.engine, part, us, large)
	}
	us = part
	us = prefer(us, func(u *upstream) bool { return u.prompts.waiting == 0 })
	if c.AffinityKey != "" && c.SharedWork >= minSharedPart*c.PromptWork {
		if first := firstOf(us, c.AffinityKey); f.random.Float64() < f.headroom(now, first) {
			return first, true
		}
	}
	return f.leastAssigned(now, us, s.engine.seconds(c.PromptWork)), false
}

// relievePart returns the part of the upstreams for prompts of a size, or all instead, the more
// probably the more is to be done there. A small prompt holds nobody up, so that streams count
// for it, too; a large one stays unless prompts wait.
func (f *Fleet) relievePart(e *engine, part, all []*upstream, large bool) []*upstream {
	measure := e.delay
	if large {
		measure = e.wait
	}
	if over := median(part, measure) - 2*median(all, measure); f.random.Float64() < over/reliefTime.Seconds() {
		return all
	}
	return part
}

// lack returns the part by which the local upstreams can do less than those of a failure domain
// on average, such as while most of the others are of another version or gone. A small lack
// counts as none.
func lack(local, all []*upstream) float64 {
	var domains []string
	for _, u := range all {
		if !slices.Contains(domains, u.FailureDomain) {
			domains = append(domains, u.FailureDomain)
		}
	}
	can := func(us []*upstream) float64 { return mean(us, (*upstream).pace) * float64(len(us)) }
	if missing := 1 - can(local)*float64(len(domains))/can(all); missing > minLack {
		return missing
	}
	return 0
}

// crossingDraw returns a number from 0 to 1 that is below the share of the requests that may go
// to other failure domains if the request is one of them. It is the same for all requests with
// an affinity key, so that these stay together.
func (f *Fleet) crossingDraw(key string) float64 {
	if key == "" {
		return f.random.Float64()
	}
	return float64(rendezvousScore(key, "crossing")>>11) / (1 << 53)
}

// firstOf returns the first upstream in a key's rendezvous order, weighted by their pace.
func firstOf(us []*upstream, key string) *upstream {
	var best *upstream
	var bestScore float64
	for _, u := range us {
		if score := weightedScore(rendezvousScore(key, u.ID), u.affinityWeight); best == nil || score > bestScore {
			best, bestScore = u, score
		}
	}
	return best
}

// weightedScore returns a score that is the highest with a probability in proportion to the
// weight. A weight of 0 counts as 1.
func weightedScore(score uint64, weight float64) float64 {
	if weight == 0 {
		weight = 1
	}
	return -weight / math.Log((float64(score>>11)+0.5)/(1<<53))
}

// headroom returns the part of its usual requests that an upstream is to get: 1 if nothing is
// known of its load.
func (f *Fleet) headroom(now time.Time, u *upstream) float64 {
	if u.headroom == 0 || !f.knowsLoad(now) {
		return 1
	}
	return u.headroom
}

// leastAssigned returns the one of a few random upstreams that gets the least work a second, for
// its pace and headroom, if the other instances do as this one and with another attempt of the
// given work. Long prompts thus go where they are read fast. One that has got little so far, such
// as one that has been cold, gets a bounded multiple of its usual requests from all instances.
func (f *Fleet) leastAssigned(now time.Time, us []*upstream, seconds float64) *upstream {
	perSecond := float64(len(f.instanceNames)) * math.Ln2 / assignedHalfLife.Seconds()
	var best *upstream
	var least float64
	for range randomCandidates {
		u := us[f.random.IntN(len(us))]
		if work := (perSecond*u.assigned.at(now) + seconds) * u.slow() / f.headroom(now, u); best == nil || work < least {
			best, least = u, work
		}
	}
	return best
}

// A decayedSum counts what was added longer ago less. The zero decayedSum is 0.
type decayedSum struct {
	sum  float64
	asOf time.Time // zero if nothing has been added
}

func (d *decayedSum) at(now time.Time) float64 {
	if d.sum == 0 {
		return 0
	}
	return d.sum * math.Exp2(-now.Sub(d.asOf).Seconds()/assignedHalfLife.Seconds())
}

func (d *decayedSum) add(now time.Time, x float64) {
	d.sum = d.at(now) + x
	d.asOf = now
}
