// Package cascade chooses between a cheap and a large model for each request of
// a class, at the lowest cost that holds the class's quality target.
//
// It learns from ratings how often the cheap model's answer suffices, apart for
// each bucket of requests that look alike before they run. The choice is one of
// three: the cheap model alone, where its answers suffice often enough with the
// stated confidence; the cheap model first, with a rating before the answer is
// given and the large model when it falls short; or the large model at once.
//
// Ratings come late, for a part of the answers, and sometimes not at all. While
// none can be had, no answer waits for one, and without a recent one the choice
// is the large model.
//
// Invariant: Cheap is chosen only while the lower confidence bound of the cheap
// model's rate in the request's bucket is at least the target.
package cascade

import (
	"math"
	"math/rand/v2"
	"time"

	"banyanyard/core/tally"
)

const (
	// confidence is the normal quantile of the one-sided confidence, 95%.
	confidence = 1.645
	// SlotLength is the length of a slot in which ratings are counted. Ratings
	// are forgotten after tally.Slots of them.
	SlotLength = 5 * time.Minute
	// explore is the share of requests that try the cheap model first, and so
	// are rated, where that is not the choice.
	explore = 0.02
	// minRatings is the number of ratings before the cheap model answers alone.
	minRatings = 50
	// silence is the time without any rating after which the rating service
	// counts as unavailable.
	silence = time.Minute
	// maxAge is the age of the newest rating up to which the cheap model answers
	// alone.
	maxAge = 10 * time.Minute
	// surprise is how far the newest slot's rate may lie below the older ones',
	// in standard errors, before the older ones are left out.
	surprise = 3
)

// A Choice is what to do with a request.
type Choice int

// The choices.
const (
	Large      Choice = iota // the large model at once
	CheapFirst               // the cheap model, rated, then the large one if needed
	Cheap                    // the cheap model alone
)

var choiceNames = [...]string{"large", "cheap-first", "cheap"}

// String returns the name of the choice.
func (c Choice) String() string { return choiceNames[c] }

// A Bucket numbers the requests that look alike.
type Bucket int

// Buckets is the number of buckets.
const Buckets = 4

// promptTokens bound the buckets from above.
var promptTokens = [Buckets - 1]int{64, 256, 1024}

// BucketOf returns the bucket of a request by the size of its prompt.
func BucketOf(tokens int) Bucket {
	for i, limit := range promptTokens {
		if tokens < limit {
			return Bucket(i)
		}
	}
	return Buckets - 1
}

// A Learner holds what is known about one class of one organisation. The zero
// Learner knows nothing. It is guarded by its owner's mutex.
type Learner struct {
	Ratings [Buckets]tally.Window `json:"ratings"`
	Newest  time.Time             `json:"newest"` // rating
	// failed is when a rating was last asked for in vain.
	failed time.Time
}

// Rated learns whether the cheap model's answer to a request sufficed.
func (l *Learner) Rated(now time.Time, b Bucket, sufficed bool) {
	c := tally.Counts{Bad: 1}
	if sufficed {
		c = tally.Counts{Good: 1}
	}
	l.Ratings[b].Add(now, SlotLength, c)
	if now.After(l.Newest) {
		l.Newest = now
	}
}

// Unrated learns that no rating could be had in time.
func (l *Learner) Unrated(now time.Time) { l.failed = now }

// available reports whether ratings can be expected.
func (l *Learner) available(now time.Time) bool {
	return l.failed.IsZero() || l.Newest.After(l.failed) || now.Sub(l.failed) > silence
}

// Merge adds what another instance has learnt.
func (l *Learner) Merge(o *Learner) {
	for b := range l.Ratings {
		l.Ratings[b].Merge(o.Ratings[b])
	}
	if o.Newest.After(l.Newest) {
		l.Newest = o.Newest
	}
}

// A Situation is what a choice depends on beside the ratings.
type Situation struct {
	Target    float64 // share of answers that must suffice
	CheapCost float64 // expected cost of a cheap answer
	LargeCost float64 // expected cost of a large answer
	Bucket    Bucket
}

// Choose returns what to do with a request.
func (l *Learner) Choose(now time.Time, s Situation, r *rand.Rand) Choice {
	counts := l.recent(now, s.Bucket)
	if counts.N() >= minRatings && now.Sub(l.Newest) < maxAge && Lower(counts) >= s.Target {
		return Cheap
	}
	if !l.available(now) {
		return Large
	}
	if counts.N() < minRatings/5 {
		// Too little is known; trying costs little and teaches.
		return CheapFirst
	}
	if s.CheapCost+(1-counts.Rate())*s.LargeCost < s.LargeCost || r.Float64() < explore {
		return CheapFirst
	}
	return Large
}

// recent returns the counts of a bucket. Where the newest slots are worse than
// the older ones by more than chance explains, the model has changed and only
// they count.
func (l *Learner) recent(now time.Time, b Bucket) tally.Counts {
	all := l.Ratings[b].Sum(now, SlotLength)
	w := &l.Ratings[b]
	if w.Slot < 1 {
		return all
	}
	newest := w.Counts[w.Slot%tally.Slots].Plus(w.Counts[(w.Slot-1)%tally.Slots])
	older := tally.Counts{Good: all.Good - newest.Good, Bad: all.Bad - newest.Bad}
	if older.N() < minRatings/5 || newest.N() < 10 {
		return all
	}
	deviation := math.Sqrt(older.Rate()*(1-older.Rate())/float64(newest.N())) + 1/float64(newest.N())
	if older.Rate()-newest.Rate() > surprise*deviation {
		return newest
	}
	return all
}

// Lower returns the lower confidence bound of a rate, by Wilson's score
// interval (1927).
func Lower(c tally.Counts) float64 {
	n := float64(c.N())
	if n == 0 {
		return 0
	}
	p := c.Rate()
	z2 := confidence * confidence
	centre := p + z2/(2*n)
	margin := confidence * math.Sqrt(p*(1-p)/n+z2/(4*n*n))
	return (centre - margin) / (1 + z2/n)
}
