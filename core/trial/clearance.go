package trial

import (
	"time"

	"banyanyard/core/rollout"
)

const (
	// clearanceInterval is the time between evaluations of the evidence for the
	// move.
	clearanceInterval = 250 * time.Millisecond
	// clearanceDelay is the time from the clearance to the move, in which the
	// instances learn of it, so that all move at the same time.
	clearanceDelay = 1200 * time.Millisecond
	// lateClearance is the fraction of the order's duration after which the traffic
	// also moves if little is known about the new version, but nothing against it.
	lateClearance = 0.65
	// giveUp is the fraction of the order's duration after which a version that is
	// not cleared is stopped: the move could not end in time.
	giveUp = 0.8
	// summaryTimeout is the time without a summary after which an instance relies on
	// its own evidence.
	summaryTimeout = 3 * time.Second
	// clearedLogRatio is the logarithm of the likelihood ratio below which a
	// criterion counts as passed: that the version is worse is then 20 times less
	// likely than that it is not.
	clearedLogRatio = -3.0
	// maxKindLogRatio is the largest logarithm of the likelihood ratio that one kind
	// of request may have. It is above that of the total because single kinds have
	// few answers.
	maxKindLogRatio = 2.0
)

// updateClearance evaluates whether the evidence allows the traffic to move, and
// if so decides when. Only an instance that collects the reports of at least half
// of all instances decides; the others learn it from summaries.
func (t *Trial) updateClearance(now time.Time) {
	if t.moveAt > 0 || t.state != Running || now.Sub(t.clearanceChecked) < clearanceInterval {
		return
	}
	t.clearanceChecked = now
	elapsed := now.Sub(t.startTime)
	late := float64(elapsed) >= lateClearance*float64(t.Order.Duration)
	isolated := late && now.Sub(t.lastSummary) > summaryTimeout
	if (t.collects() || isolated) && t.isCleared(late) {
		t.moveAt = elapsed + clearanceDelay
	}
}

// GiveUp stops the trial if the new version has not been cleared in time. It
// reports whether it did.
func (t *Trial) GiveUp(now time.Time) bool {
	t.updateClearance(now)
	if t.moveAt > 0 || !t.collects() || float64(now.Sub(t.startTime)) < giveUp*float64(t.Order.Duration) {
		return false
	}
	return t.AdoptState(Stopped, "the evidence has not cleared the new version in time")
}

// TakeClearance returns when the traffic starts to move, as a time since the order,
// the first time that it is called after that has been decided.
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

// isCleared reports whether the evidence speaks for the new version or, if late is
// set, not against it.
func (t *Trial) isCleared(late bool) bool {
	maxLogRatio := clearedLogRatio
	if late {
		maxLogRatio = 0
	}
	var total rollout.Evidence
	for kind := range t.evidenceKinds() {
		e := t.totalEvidence(kind)
		if rollout.MaxLogRatio(e, latencyThreshold, eventGapThreshold) > maxKindLogRatio {
			return false
		}
		total = total.Plus(e)
	}
	if !late && !rollout.HasEvidence(total) {
		return false
	}
	return rollout.MaxLogRatio(total, latencyThreshold, eventGapThreshold) <= maxLogRatio
}

// moveStart returns when the traffic starts to move, as a time since the order.
// It returns false while that is not decided.
func (t *Trial) moveStart() (time.Duration, bool) {
	return max(t.earliestMove(), t.moveAt), t.moveAt > 0
}

// earliestMove returns when the traffic may move, as a time since the order.
func (t *Trial) earliestMove() time.Duration {
	return time.Duration(earliestMoveStart * float64(t.Order.Duration))
}

// hasMoveStarted reports whether the traffic moves or has moved.
func (t *Trial) hasMoveStarted(now time.Time) bool {
	start, decided := t.moveStart()
	return decided && now.Sub(t.startTime) >= start
}
