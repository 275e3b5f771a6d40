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
	// confidenceQuantile is the normal quantile of the one-sided confidenceQuantile, 95%.
	confidenceQuantile = 1.645
	// SlotLength is the length of a slot in which ratings are counted. Ratings
	// are forgotten after tally.Slots of them.
	SlotLength = 5 * time.Minute
	// exploreShare is the share of requests that try the cheap model first, and so
	// are rated, where that is not the choice.
	exploreShare = 0.02
	// minRatings is the number of ratings before the cheap model answers alone.
	minRatings = 50
	// ratingBackoff is the time without any rating after which the rating service
	// counts as unavailable.
	ratingBackoff = time.Minute
	// maxRatingAge is the age of the newest rating up to which the cheap model answers
	// alone.
	maxRatingAge = 10 * time.Minute
	// driftDeviations is how far the newest slot's rate may lie below the older ones',
	// in standard errors, before the older ones are left out.
	driftDeviations = 3
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

// bucketLimits bound the buckets from above.
var bucketLimits = [Buckets - 1]int{64, 256, 1024}

// BucketOf returns the bucket of a request by the size of its prompt.
func BucketOf(tokens int) Bucket {
	for i, limit := range bucketLimits {
		if tokens < limit {
			return Bucket(i)
		}
	}
	return Buckets - 1
}

// A Learner holds what is known about one class of one organisation. The zero
// Learner knows nothing. It is guarded by its owner's mutex.
type Learner struct {
	Ratings      [Buckets]tally.Window `json:"ratings"`
	NewestRating time.Time             `json:"newest"` // rating
	// lastFailure is when a rating was last asked for in vain.
	lastFailure time.Time
}

// RecordRating learns whether the cheap model's answer to a request sufficed.
func (l *Learner) RecordRating(now time.Time, b Bucket, sufficed bool) {
	c := tally.Counts{Bad: 1}
	if sufficed {
		c = tally.Counts{Good: 1}
	}
	l.Ratings[b].Add(now, SlotLength, c)
	if now.After(l.NewestRating) {
		l.NewestRating = now
	}
}

// RecordRatingFailure learns that no rating could be had in time.
func (l *Learner) RecordRatingFailure(now time.Time) { l.lastFailure = now }

// ratingsAvailable reports whether ratings can be expected.
func (l *Learner) ratingsAvailable(now time.Time) bool {
	return l.lastFailure.IsZero() || l.NewestRating.After(l.lastFailure) || now.Sub(l.lastFailure) > ratingBackoff
}

// Merge adds what another instance has learnt.
func (l *Learner) Merge(o *Learner) {
	for b := range l.Ratings {
		l.Ratings[b].Merge(o.Ratings[b])
	}
	if o.NewestRating.After(l.NewestRating) {
		l.NewestRating = o.NewestRating
	}
}

// A ChooseParams is what a choice depends on beside the ratings.
type ChooseParams struct {
	QualityTarget float64 // share of answers that must suffice
	CheapCost     float64 // expected cost of a cheap answer
	LargeCost     float64 // expected cost of a large answer
	Bucket        Bucket
}

// Choose returns what to do with a request.
func (l *Learner) Choose(now time.Time, s ChooseParams, r *rand.Rand) Choice {
	counts := l.recentCounts(now, s.Bucket)
	if counts.N() >= minRatings && now.Sub(l.NewestRating) < maxRatingAge && LowerBound(counts) >= s.QualityTarget {
		return Cheap
	}
	if !l.ratingsAvailable(now) {
		return Large
	}
	if counts.N() < minRatings/5 {
		// Too little is known; trying costs little and teaches.
		return CheapFirst
	}
	if s.CheapCost+(1-counts.Rate())*s.LargeCost < s.LargeCost || r.Float64() < exploreShare {
		return CheapFirst
	}
	return Large
}

// recentCounts returns the counts of a bucket. Where the newest slots are worse than
// the older ones by more than chance explains, the model has changed and only
// they count.
func (l *Learner) recentCounts(now time.Time, b Bucket) tally.Counts {
	all := l.Ratings[b].Sum(now, SlotLength)
	w := &l.Ratings[b]
	if w.NewestSlot < 1 {
		return all
	}
	newest := w.Counts[w.NewestSlot%tally.Slots].Plus(w.Counts[(w.NewestSlot-1)%tally.Slots])
	older := tally.Counts{Good: all.Good - newest.Good, Bad: all.Bad - newest.Bad}
	if older.N() < minRatings/5 || newest.N() < 10 {
		return all
	}
	deviation := math.Sqrt(older.Rate()*(1-older.Rate())/float64(newest.N())) + 1/float64(newest.N())
	if older.Rate()-newest.Rate() > driftDeviations*deviation {
		return newest
	}
	return all
}

// LowerBound returns the lower confidence bound of a rate, by Wilson's score
// interval (1927).
func LowerBound(c tally.Counts) float64 {
	n := float64(c.N())
	if n == 0 {
		return 0
	}
	p := c.Rate()
	z2 := confidenceQuantile * confidenceQuantile
	centre := p + z2/(2*n)
	margin := confidenceQuantile * math.Sqrt(p*(1-p)/n+z2/(4*n*n))
	return (centre - margin) / (1 + z2/n)
}
