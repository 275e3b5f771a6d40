package placement

import (
	"math"
	"time"
)

const (
	// minSharedPart is the part of a prompt that must be shared for the prompt to go where
	// that part is kept.
	minSharedPart = 0.3
	// smallReserve is the multiple of their work that small prompts count for in the division:
	// their callers wait for less, so that their part needs room for peaks.
	smallReserve = 1.5
	// reliefTime is the predicted wait above twice that of most at which a part of the
	// upstreams gets only the requests of its size that fit nowhere else.
	reliefTime = time.Second
	// assignedHalfLife is the time after which work that was given to an upstream counts half.
	assignedHalfLife = 4 * time.Second
)

// choosesByDelay reports whether an attempt goes by predicted delays: if it has a prompt,
// and there are so many instances that each sees little of an upstream itself.
func (f *Fleet) choosesByDelay(c Criteria) bool {
	return c.PromptWork > 0 && len(f.instanceNames) >= minSharedInstances
}

// chooseByDelay returns the upstream for a prompt. Prompts that share much go to the first
// upstream in the order of what they share, which keeps it, as far as there is headroom. All
// others even out the work that this instance has given to each upstream, in proportion to
// its pace and headroom: each instance does that by itself, so that old news sends no crowd
// anywhere. It reports whether the upstream is expected to keep what the prompt shares.
func (f *Fleet) chooseByDelay(now time.Time, s *service, us []*upstream, c Criteria) (chosen *upstream, kept bool) {
	us = preferLimited(us, true)
	if f.crossingDraw(c.AffinityKey) >= s.engine.crossing {
		us = f.local(us)
	}
	large := c.PromptWork >= largePromptWork
	work := s.engine.seconds(c.PromptWork)
	if !large {
		work *= smallReserve
	}
	part := s.partition.divide(now, us, large, work, (*upstream).pace)
	us = f.relievePart(&s.engine, part, us, large)
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
	if u.headroom == 0 || now.Sub(f.loadSetAt) >= sharedLoadTimeout {
		return 1
	}
	return u.headroom
}

// leastAssigned returns the upstream that gets the least work a second, for its pace and
// headroom, if the other instances do as this one and with another attempt of the given work.
// Long prompts thus go where they are read fast.
func (f *Fleet) leastAssigned(now time.Time, us []*upstream, seconds float64) *upstream {
	f.assignToNew(now, us)
	perSecond := float64(len(f.instanceNames)) * math.Ln2 / assignedHalfLife.Seconds()
	var best *upstream
	var least float64
	offset := f.random.IntN(len(us))
	for i := range us {
		u := us[(i+offset)%len(us)]
		if work := (perSecond*u.assigned.at(now) + seconds) * u.slow() / f.headroom(now, u); best == nil || work < least {
			best, least = u, work
		}
	}
	return best
}

// assignToNew makes upstreams that have got no work yet start with about the mean of the
// others, so that they do not get the next requests of all instances.
func (f *Fleet) assignToNew(now time.Time, us []*upstream) {
	for _, u := range us {
		if u.assigned.asOf.IsZero() {
			u.assigned.add(now, 2*f.random.Float64()*mean(us, func(u *upstream) float64 { return u.assigned.at(now) }))
		}
	}
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
