// Package cascade chooses between a cheap and a large model for each request of
// a class, at the lowest cost that meets the class's quality target.
//
// It learns from ratings how often the cheap model's answer suffices,
// separately for each bucket of similar requests. A request is answered in one
// of three ways: by the cheap model alone, if its answers suffice often enough
// with the required confidence; by the cheap model first, whose answer is rated
// before it is delivered and replaced by the large model's if it does not
// suffice; or by the large model at once.
//
// Ratings arrive late, only for some of the answers, and sometimes not at all.
// While the rating service is unavailable, no answer waits for a rating;
// without a recent rating the choice is then the large model.
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
	// confidenceQuantile is the quantile of the normal distribution for a
	// one-sided confidence of 95%.
	confidenceQuantile = 1.645
	// SlotLength is the length of a slot in which ratings are counted. Ratings
	// expire after tally.Slots slots.
	SlotLength = 5 * time.Minute
	// exploreShare is the share of requests that try the cheap model first, and
	// so get a rating, although the large model would be cheaper.
	exploreShare = 0.02
	// minRatings is the number of ratings required before the cheap model
	// answers alone.
	minRatings = 50
	// ratingBackoff is how long the rating service counts as unavailable after
	// a failed request for a rating, unless a rating arrives in the meantime.
	ratingBackoff = time.Minute
	// maxRatingAge is the largest age of the newest rating with which the cheap
	// model answers alone.
	maxRatingAge = 10 * time.Minute
	// driftDeviations is the number of standard errors by which the rate of the
	// newest slots may lie below that of the older ones before the older ones
	// are ignored.
	driftDeviations = 3
)

// A Choice says which model answers a request.
type Choice int

// The possible choices.
const (
	Large      Choice = iota // the large model at once
	CheapFirst               // the cheap model, rated, then the large one if needed
	Cheap                    // the cheap model alone
)

var choiceNames = [...]string{"large", "cheap-first", "cheap"}

// String returns the name of the choice.
func (c Choice) String() string { return choiceNames[c] }

// A Bucket is a group of similar requests, numbered from 0.
type Bucket int

// Buckets is the number of buckets.
const Buckets = 4

// bucketLimits are the exclusive upper limits of the buckets, in prompt tokens.
// The last bucket has none.
var bucketLimits = [Buckets - 1]int{64, 256, 1024}

// BucketOf returns the bucket of a request by the size of its prompt in tokens.
func BucketOf(tokens int) Bucket {
	for i, limit := range bucketLimits {
		if tokens < limit {
			return Bucket(i)
		}
	}
	return Buckets - 1
}

// A Learner holds the ratings of the cheap model for one class of one
// organisation. The zero Learner has none and is ready to use. A Learner is not
// safe for concurrent use; its owner's mutex guards it.
type Learner struct {
	Ratings      [Buckets]tally.Window `json:"ratings"`
	NewestRating time.Time             `json:"newest"` // time of the newest rating
	// lastFailure is the time of the last request for a rating that failed.
	lastFailure time.Time
}

// RecordRating records whether the cheap model's answer to a request sufficed.
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

// RecordRatingFailure records that a requested rating did not arrive in time.
func (l *Learner) RecordRatingFailure(now time.Time) { l.lastFailure = now }

// ratingsAvailable reports whether ratings can be expected.
func (l *Learner) ratingsAvailable(now time.Time) bool {
	return l.lastFailure.IsZero() || l.NewestRating.After(l.lastFailure) || now.Sub(l.lastFailure) > ratingBackoff
}

// Merge adds the ratings of another instance.
func (l *Learner) Merge(o *Learner) {
	for b := range l.Ratings {
		l.Ratings[b].Merge(o.Ratings[b])
	}
	if o.NewestRating.After(l.NewestRating) {
		l.NewestRating = o.NewestRating
	}
}

// ChooseParams are the inputs to a choice other than the ratings.
type ChooseParams struct {
	QualityTarget float64 // share of answers that must suffice, from 0 to 1
	CheapCost     float64 // expected cost of a cheap answer
	LargeCost     float64 // expected cost of a large answer
	Bucket        Bucket
}

// Choose returns which model answers a request. It uses r to explore.
func (l *Learner) Choose(now time.Time, s ChooseParams, r *rand.Rand) Choice {
	counts := l.recentCounts(now, s.Bucket)
	if counts.N() >= minRatings && now.Sub(l.NewestRating) < maxRatingAge && LowerBound(counts) >= s.QualityTarget {
		return Cheap
	}
	if !l.ratingsAvailable(now) {
		return Large
	}
	if counts.N() < minRatings/5 {
		// With so few ratings, trying the cheap model costs little and
		// yields ratings.
		return CheapFirst
	}
	if s.CheapCost+(1-counts.Rate())*s.LargeCost < s.LargeCost || r.Float64() < exploreShare {
		return CheapFirst
	}
	return Large
}

// recentCounts returns the ratings of a bucket. If the two newest slots are
// worse than the older ones by more than chance explains, the model has
// changed, and only they count.
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

// LowerBound returns the lower confidence bound of the rate of good outcomes,
// by the Wilson score interval (1927).
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
