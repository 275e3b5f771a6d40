package retry

import (
	"time"

	"banyanyard/core/window"
)

// A WindowBudget limits the retries of a service to a ratio of its requests over
// a sliding window, plus a constant slack. If each instance has a budget with
// the same ratio and its part of the slack, the limit also holds for the sum of
// all instances. It is guarded by its owner's mutex.
type WindowBudget struct {
	Ratio float64 // retries allowed per request
	Slack float64 // this instance's part of the retries allowed in addition to the ratio

	requestCount window.Counter
	retryCount   window.Counter
}

// NewWindowBudget returns a budget over a window of the given span. It allows no
// retry until Ratio or Slack is set.
func NewWindowBudget(span time.Duration) *WindowBudget {
	return &WindowBudget{requestCount: window.Counter{Span: span}, retryCount: window.Counter{Span: span}}
}

// RecordRequest counts a request.
func (b *WindowBudget) RecordRequest(now time.Time) { b.requestCount.Add(now, 1) }

// Spend counts a retry and returns true if the budget allows it, or returns
// false.
func (b *WindowBudget) Spend(now time.Time) bool {
	if b.Remaining(now) < 1 {
		return false
	}
	b.retryCount.Add(now, 1)
	return true
}

// Remaining returns the number of retries that the budget still allows. It is
// negative when requests have left the window before the retries that they
// allowed.
func (b *WindowBudget) Remaining(now time.Time) float64 {
	return b.Ratio*b.requestCount.Sum(now) + b.Slack - b.retryCount.Sum(now)
}
