// Package outage decides for how long a registration that is gone may come back, because
// the store lost it in an outage.
//
// Registrations lapse when their upstreams cannot renew them for a few of their intervals.
// So an outage matters only if it lasts for longer than MinLapse, and nobody heard of the
// store meanwhile: what one instance cannot reach another may.
//
// Invariant: a registration that lapsed in an outage counts as doubtful until its upstream
// has had Grace to renew it.
package outage

import "time"

const (
	// MinLapse is a time without responses of the store in which no registration lapses:
	// less than two of the three intervals after which it does.
	MinLapse = 1800 * time.Millisecond
	// Grace is the time after the return of the store in which registrations that lapsed
	// are written again.
	Grace = 2200 * time.Millisecond
)

// A Tracker follows the age of what an instance knows of the store. The zero Tracker has
// seen no outage. It is not safe for concurrent use.
type Tracker struct {
	lastSilent time.Time // newest time at which the store may have been out, or had lost rows; zero for none
}

// Observe records that changes up to asOf are known at a time. It must be called at short
// intervals, and before asOf rises.
func (t *Tracker) Observe(now, asOf time.Time) {
	if now.Sub(asOf) > MinLapse && now.After(t.lastSilent) {
		t.lastSilent = now
	}
}

// RecordLoss records that the store has lost rows otherwise, as when it comes back from a
// copy.
func (t *Tracker) RecordLoss(now time.Time) { t.lastSilent = now }

// UncertainFor returns for how long a registration that is gone may come back.
func (t *Tracker) UncertainFor(now time.Time) time.Duration {
	if t.lastSilent.IsZero() {
		return 0
	}
	return max(0, Grace-now.Sub(t.lastSilent))
}
