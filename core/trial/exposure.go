package trial

import "time"

// An Exposure counts the attempts sent to a service since the order.
type Exposure struct {
	All int `json:"all"`
	New int `json:"new"` // those of All that went to the new version
}

// Plus returns the sum of two exposures.
func (e Exposure) Plus(o Exposure) Exposure { return Exposure{All: e.All + o.All, New: e.New + o.New} }

// Minus returns the difference of two exposures.
func (e Exposure) Minus(o Exposure) Exposure { return Exposure{All: e.All - o.All, New: e.New - o.New} }

// TotalExposure returns the exposure of all instances, as far as known here.
func (t *Trial) TotalExposure() Exposure { return t.exposure.Plus(t.others.Exposure) }

const (
	// surgeFactor is by how much more than at present may be sent after the move without
	// exceeding the bound.
	surgeFactor = 1.3
	// moveSlackFraction is the part of Bounds.ExposeSlack that the move may use; the rest
	// is for retries and for streams that continue on the new version.
	moveSlackFraction = 0.45
	// cutOffSlackFraction is the part that may be used in all once streams continue on the
	// new version.
	cutOffSlackFraction = 0.75
	// guardSlackFraction is the part that may be used in all before the trial is stopped
	// for it.
	guardSlackFraction = 0.7
	// stopDelay is the time from a report that shows that the trial is to be stopped until
	// no instance sends to the new version any more.
	stopDelay = 1300 * time.Millisecond
)

// exceedsBound reports whether the new version, to which the traffic has moved, gets more
// than the bound on exposure allows unless the trial is stopped now, if requests go on at
// the newest rate. Failures make callers send more of them. Those that the other instances
// have sent since their reports count too.
func (t *Trial) exceedsBound(now time.Time) bool {
	elapsed := now.Sub(t.startTime)
	start, _ := t.moveStart()
	total := t.TotalExposure()
	share := t.bounds.ExposeShare
	left := min(stopDelay, max(0, t.Order.Duration-elapsed))
	span := newestRateSpan
	if t.recentRate(now, span)*span.Seconds() < minNewestAttempts {
		span = quietRateSpan
	}
	expected := t.ownArrivals.rate(span) * left.Seconds()
	for instance, l := range t.arrivals {
		if age := now.Sub(t.reportTimes[instance]); age <= maxReportAge {
			expected += l.rate(span) * (min(age, max(0, elapsed-start)) + left).Seconds()
		}
	}
	return float64(total.New)-share*float64(total.All)+expected*(1-share) > guardSlackFraction*t.bounds.ExposeSlack
}

// nextMove returns when the traffic may move, as a time since the order, if that can be
// decided now. The new version stays within the bound on exposure then if it gets all
// requests until the order's deadline, and the attempts that are in flight on the old
// version, which the completion cuts off. For the sake of these, the traffic does not move
// later than completionLead before the deadline.
func (t *Trial) nextMove(now time.Time) (time.Duration, bool) {
	at := now.Sub(t.startTime) + clearanceDelay
	latest := t.Order.Duration - completionLead
	room := moveSlackFraction*t.bounds.ExposeSlack - t.exposureBeyond(now, at)
	switch {
	case room >= float64(t.running()):
		return at, true
	case room >= 0 && at+clearanceInterval > latest:
		return max(at, latest), true
	}
	return 0, false
}

// running returns the number of attempts in flight on the old version at all instances.
func (t *Trial) running() int {
	n := t.ownRunning
	for _, r := range t.reports {
		n += r.Running
	}
	return n
}

// arrivalRate returns the attempts per second of all instances: the larger of the rate of
// the last seconds and that since the order.
func (t *Trial) arrivalRate(now time.Time) float64 {
	rate := t.recentRate(now, rateSpan)
	elapsed := now.Sub(t.startTime)
	if elapsed <= 0 {
		return rate
	}
	return max(rate, float64(t.TotalExposure().All)/elapsed.Seconds())
}

// recentRate returns the attempts per second of all instances that report, over a span.
func (t *Trial) recentRate(now time.Time, span time.Duration) float64 {
	rate := t.ownArrivals.rate(span)
	for instance, l := range t.arrivals {
		if now.Sub(t.reportTimes[instance]) <= maxReportAge {
			rate += l.rate(span)
		}
	}
	return rate
}

// exposureBeyond returns how many attempts more than its share of all the new version is
// expected to get up to the order's deadline if it gets all from a time on, since the
// order.
func (t *Trial) exposureBeyond(now time.Time, moveAt time.Duration) float64 {
	elapsed := now.Sub(t.startTime)
	total := t.TotalExposure()
	rate := t.arrivalRate(now)
	share := t.bounds.ExposeShare
	until := (moveAt - elapsed).Seconds()
	left := max(0, (t.Order.Duration - moveAt).Seconds())
	beyond := float64(total.New) - share*float64(total.All) - share*(1-testFraction)*rate*until
	return beyond + surgeFactor*rate*left*(1-share)
}
