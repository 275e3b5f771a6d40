package trial

import "time"

const (
	// clearanceInterval is the time between evaluations of whether the traffic may move.
	clearanceInterval = 250 * time.Millisecond
	// clearanceDelay is the time from that decision to the move, in which the instances
	// learn of it, so that all move at the same time.
	clearanceDelay = 1200 * time.Millisecond
	// earliestClearance is the fraction of the order's duration before which the traffic
	// does not move, however little there is.
	earliestClearance = 0.7
	// giveUpMargin is the time before the order's deadline from which on a version is
	// stopped if the evidence speaks against it.
	giveUpMargin = 600 * time.Millisecond
	// summaryTimeout is the time without a summary after which an instance counts as cut
	// off from the others.
	summaryTimeout = 3 * time.Second
	// maxLogRatio and maxKindLogRatio are the largest logarithms of the likelihood that a
	// version is worse, relative to that it is not, which do not speak against it: by all
	// requests and by one kind.
	maxLogRatio     = 2.0
	maxKindLogRatio = 4.6
	// maxFailureLogRatio is the same for failures that upstreams report, each kind compared
	// with itself: neither load nor caches explain them. Ordering a good version again costs
	// less than a bad one that stays.
	maxFailureLogRatio = 1.0
	// maxCopiesLogRatio is the same for the copies of load tests.
	maxCopiesLogRatio = 1.0
)

// updateClearance decides when the traffic moves, if that is possible now. Only an
// instance that collects the reports of at least half of all instances decides; the
// others learn it from summaries.
func (t *Trial) updateClearance(now time.Time) {
	if t.moveAt > 0 || t.state != Running || now.Sub(t.clearanceChecked) < clearanceInterval {
		return
	}
	t.clearanceChecked = now
	elapsed := now.Sub(t.startTime)
	t.ownArrivals.record(elapsed, t.exposure.All)
	if float64(elapsed) < earliestClearance*float64(t.Order.Duration) || !t.collects() {
		return
	}
	if t.awaitsLoadTest(now) {
		return
	}
	tested := t.goodAnswers() > 0 || t.TotalExposure().All == 0
	if at, ok := t.nextMove(now); ok && tested && !t.isSuspicious() {
		t.moveAt = at
	}
}

// GiveUp stops the trial if the bound on exposure would not hold after the move, and at the
// end of the order's duration if the evidence speaks against the new version, or that has
// answered no request. It reports whether it did.
func (t *Trial) GiveUp(now time.Time) bool {
	t.updateClearance(now)
	if t.state != Running || !t.collects() {
		return false
	}
	elapsed := now.Sub(t.startTime)
	t.ownArrivals.record(elapsed, t.exposure.All)
	switch {
	case t.hasMoveStarted(now) && elapsed < t.Order.Duration && t.exceedsBound(now):
		return t.AdoptState(Stopped, "the bound on exposure does not cover the requests up to the deadline")
	case elapsed < t.Order.Duration-giveUpMargin:
		return false
	case t.isSuspicious():
		return t.AdoptState(Stopped, "the evidence speaks against the new version at the end of the order's duration")
	case t.goodAnswers() == 0 && t.TotalExposure().New > 0:
		return t.AdoptState(Stopped, "the new version has answered no request")
	}
	return false
}

// TakeClearance returns when the traffic moves, as a time since the order, the first
// time that it is called after that has been decided.
func (t *Trial) TakeClearance() (time.Duration, bool) {
	if t.moveAt == 0 || t.clearanceTaken {
		return 0, false
	}
	t.clearanceTaken = true
	start, _ := t.moveStart()
	return start, true
}

// collects reports whether this instance has the reports of at least half of all
// instances.
func (t *Trial) collects() bool { return 2*(len(t.reports)+1) >= t.Instances }

// MayHaveEnded reports whether the trial may have ended without this instance having
// learnt it: it has just started, or it neither collects the reports of the others nor
// hears from those that do.
func (t *Trial) MayHaveEnded(now time.Time) bool {
	if t.bounds.Joined && now.Sub(t.created) < summaryTimeout {
		return true
	}
	return !t.collects() && now.Sub(t.startTime) > summaryTimeout && now.Sub(t.lastSummary) > summaryTimeout
}

// moveStart returns when the traffic moves, as a time since the order. It returns false
// while that is not decided.
func (t *Trial) moveStart() (time.Duration, bool) {
	return max(t.earliestMove(), t.moveAt), t.moveAt > 0
}

// earliestMove returns when sessions may move, as a time since the order.
func (t *Trial) earliestMove() time.Duration {
	return time.Duration(earliestMoveStart * float64(t.Order.Duration))
}

// hasMoveStarted reports whether the traffic has moved.
func (t *Trial) hasMoveStarted(now time.Time) bool {
	start, decided := t.moveStart()
	t.moveSeen = t.moveSeen || decided && now.Sub(t.startTime) >= start
	return t.moveSeen
}
