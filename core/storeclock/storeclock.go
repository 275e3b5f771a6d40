// Package storeclock relates the steady clock of a store, which its responses tell, to that of
// an instance. Times of the store mean the same to all instances, so that the age of what one
// of them knows can be passed on without adding up how long the messages took.
//
// A response bounds the store's clock from both sides: it was told after the call was sent and
// before the response arrived.
package storeclock

import "time"

// An Estimate bounds what the store's clock shows at a time of this instance. The zero Estimate
// knows nothing. It is not safe for concurrent use.
//
// Invariant: if both clocks run at the same rate since the last reset, the store's clock shows
// t-base+low at least and t-base+high at most at the time t.
type Estimate struct {
	base      time.Time // zero while nothing is known
	low, high time.Duration
}

// Observe records that a response told a time of the store.
func (e *Estimate) Observe(sent, received time.Time, told time.Duration) {
	if e.base.IsZero() {
		e.base = sent
		e.low, e.high = told-received.Sub(sent), told
		return
	}
	low, high := told-received.Sub(e.base), told-sent.Sub(e.base)
	if low > e.high || high < e.low {
		// One of the clocks has stood still or begun anew, or they have drifted apart.
		e.low, e.high = low, high
		return
	}
	e.low, e.high = max(e.low, low), min(e.high, high)
}

// ObserveAtLeast records that the store's clock shows at least the given time now, as another
// instance has told. It shows that this instance's clock has stood still meanwhile.
func (e *Estimate) ObserveAtLeast(now time.Time, told time.Duration) {
	if e.base.IsZero() {
		return
	}
	if low := told - now.Sub(e.base); low > e.high {
		e.low, e.high = low, low
	}
}

// AtLeast returns a time that the store's clock has reached at the time t; false if nothing is
// known.
func (e *Estimate) AtLeast(t time.Time) (time.Duration, bool) {
	return t.Sub(e.base) + e.low, !e.base.IsZero()
}

// Earliest returns the earliest time of this instance at which the store's clock may have shown
// the given time; false if nothing is known.
func (e *Estimate) Earliest(told time.Duration) (time.Time, bool) {
	return e.base.Add(told - e.high), !e.base.IsZero()
}
