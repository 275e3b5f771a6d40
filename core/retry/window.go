package retry

import (
	"time"

	"banyanyard/core/window"
)

// A Ratio keeps the repeated attempts of a service a share of its requests over
// a sliding span. When each instance keeps its own ratio, and its part of the
// slack, so do all of them together. It is guarded by its owner's mutex.
type Ratio struct {
	Share float64 // of the requests
	Slack float64 // repeats that are allowed beside the share; this instance's part

	requests window.Counter
	repeats  window.Counter
}

// NewRatio returns a ratio over the span that allows no repeat yet.
func NewRatio(span time.Duration) *Ratio {
	return &Ratio{requests: window.Counter{Span: span}, repeats: window.Counter{Span: span}}
}

// Request counts a request.
func (r *Ratio) Request(now time.Time) { r.requests.Add(now, 1) }

// Spend counts a repeat, if there is room for it.
func (r *Ratio) Spend(now time.Time) bool {
	if r.Left(now) < 1 {
		return false
	}
	r.repeats.Add(now, 1)
	return true
}

// Left returns how many repeats there is room for.
func (r *Ratio) Left(now time.Time) float64 {
	return r.Share*r.requests.Sum(now) + r.Slack - r.repeats.Sum(now)
}
