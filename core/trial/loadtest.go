package trial

import (
	"time"

	"banyanyard/core/tally"
)

const (
	// secondLoadTest is when the second load test may begin, as a fraction of the order's
	// duration; the first one may from earliestMove on. By the second, a version that turns
	// bad late has had time to.
	secondLoadTest = 0.75
	// loadTestRankDelay is the time after which the instance of the next rank runs a load
	// test that has not been reported. An instance can run one only when it has had a
	// suitable request.
	loadTestRankDelay = 500 * time.Millisecond
	// collectorRanks is the number of instances that learn of each other's load tests at
	// once. The others wait until othersLoadTest, as a fraction of the order's duration, and
	// learn of them by summaries.
	collectorRanks = 2
	othersLoadTest = 0.1
	// maxSummaryAge is the age of a summary up to which its room for copies is used.
	maxSummaryAge = time.Second
	// A load test sends sufficientLoadTestRounds copies for each slot of an upstream, and
	// loadTestRounds if one has failed, but at least sufficientCopies and maxCopies. Fewer
	// than minCopies tell nothing: the first copies find the upstream without load.
	sufficientLoadTestRounds = 2
	loadTestRounds           = 3
	minCopies                = 9
	sufficientCopies         = 12
	maxCopies                = 18
	// loadTestSlackFraction is the part of Bounds.ExposeSlack that may be used up to the
	// deadline, load tests included.
	loadTestSlackFraction = moveSlackFraction
	// requestCanaryFraction reduces the share of requests without a session that go to the
	// new version in the first half, for the sake of a load test.
	requestCanaryFraction = 0.6
)

// MayLoadTest reports whether this instance is to run a load test as soon as it can.
//
// Before the traffic moves, the upstreams of the new version have too little load to show
// that it fails under load. A load test fills the slots of one of them with copies of a
// request that the old version has just answered. The callers of copies get the
// old version's answer, and every copy that fails speaks against the new version.
func (t *Trial) MayLoadTest(now time.Time) bool { return !t.preparing && t.loadTestDue(now) }

func (t *Trial) loadTestDue(now time.Time) bool {
	elapsed := now.Sub(t.startTime) - t.loadTestDelay()
	due := 0
	switch {
	case elapsed >= t.secondLoadTest():
		due = 2
	case elapsed >= t.earliestMove():
		due = 1
	}
	return t.state == Running && t.moveAt == 0 && t.mayBeInTime(now) && t.allLoadTests() < due
}

// loadTestDelay returns how long this instance leaves a load test to those of lower ranks.
func (t *Trial) loadTestDelay() time.Duration {
	if t.Rank < collectorRanks {
		return time.Duration(t.Rank) * loadTestRankDelay
	}
	return time.Duration(othersLoadTest*float64(t.Order.Duration)) + time.Duration(t.Rank-collectorRanks)*loadTestRankDelay
}

// allLoadTests returns the number of load tests of all instances, as far as known here.
func (t *Trial) allLoadTests() int { return max(t.loadTests+t.others.LoadTests, t.summaryTests) }

// secondLoadTest returns when the second load test may begin, as a time since the order.
func (t *Trial) secondLoadTest() time.Duration {
	return time.Duration(secondLoadTest * float64(t.Order.Duration))
}

// leavesRoomForLoadTest reports whether a request without a session is not sent to the new
// version since a load test is to come, which tells more within the same bound on exposure.
func (t *Trial) leavesRoomForLoadTest(now time.Time, session string) bool {
	elapsed := now.Sub(t.startTime)
	return session == "" && t.isCopyable() && elapsed >= t.earliestMove() && elapsed < t.secondLoadTest() && t.allLoadTests() == 0 && t.goodAnswers() > 0
}

// A LoadTestSize is the number of copies of a load test.
type LoadTestSize struct {
	Most       int // that may be sent; 0 if there is to be no load test
	Sufficient int // after which the load test ends if none has failed
}

// PrepareLoadTest returns the size of a load test of an upstream with the given number of
// slots. It is zero if none is due, or if the bound on exposure has no room for one before the
// latest time at which the traffic may move; otherwise BeginLoadTest or CancelLoadTest is to
// be called next.
func (t *Trial) PrepareLoadTest(now time.Time, slots int) LoadTestSize {
	if !t.MayLoadTest(now) {
		return LoadTestSize{}
	}
	most := min(max(loadTestRounds*slots, maxCopies), t.roomForCopies(now))
	if most < max(minCopies, slots) {
		return LoadTestSize{}
	}
	t.preparing = true
	return LoadTestSize{Most: most, Sufficient: max(sufficientLoadTestRounds*slots, sufficientCopies)}
}

// SetCopyable records that this instance has had a request that a load test could copy.
func (t *Trial) SetCopyable() { t.copyable = true }

// awaitsLoadTest reports whether the traffic does not move yet since a load test, of which
// there has been none, may still take place.
func (t *Trial) awaitsLoadTest(now time.Time) bool {
	if t.allLoadTests() > 0 || !t.mayBeInTime(now) {
		return false
	}
	return t.isCopyable()
}

// isCopyable reports whether some instance has had a request that a load test could copy.
func (t *Trial) isCopyable() bool { return t.copyable || t.others.Copyable > 0 || t.summaryCopyable }

// mayBeInTime reports whether a load test that begins now ends in time for a move at the
// latest time.
func (t *Trial) mayBeInTime(now time.Time) bool {
	return now.Sub(t.startTime)+clearanceDelay < t.latestMove()
}

// BeginLoadTest reports whether the prepared load test may send copies to the new version:
// it is still due.
func (t *Trial) BeginLoadTest(now time.Time) bool {
	t.preparing = false
	if !t.loadTestDue(now) {
		return false
	}
	t.loadTests++
	return true
}

// CancelLoadTest gives up the prepared load test, so that another one may follow.
func (t *Trial) CancelLoadTest() { t.preparing = false }

// latestMove returns the latest time since the order at which the traffic may move if the
// trial is to be completed in time.
func (t *Trial) latestMove() time.Duration {
	return t.Order.Duration - completionLead - clearanceInterval
}

// roomForCopies returns how many copies the bound on exposure covers. An instance that
// does not collect the reports of the others knows it from summaries.
func (t *Trial) roomForCopies(now time.Time) int {
	if !t.collects() {
		if now.Sub(t.lastSummary) > maxSummaryAge {
			return 0
		}
		return t.summaryRoom
	}
	room := loadTestSlackFraction*t.bounds.ExposeSlack - t.exposureBeyond(now, t.latestMove()) - float64(t.running())
	return max(0, int(room/(1-t.bounds.ExposeShare)))
}

// Copies are the outcomes of copies of requests that were answered well.
type Copies struct {
	New tally.Counts `json:"new,omitzero"` // on an upstream of the new version under load
	// Old are copies of the same requests on the old version, if some failed on the new one.
	Old tally.Counts `json:"old,omitzero"`
}

// Plus returns the sum of two Copies.
func (c Copies) Plus(o Copies) Copies { return Copies{New: c.New.Plus(o.New), Old: c.Old.Plus(o.Old)} }

// Minus returns the difference of two Copies.
func (c Copies) Minus(o Copies) Copies {
	return Copies{New: c.New.Minus(o.New), Old: c.Old.Minus(o.Old)}
}

// RecordLoadTest adds the outcomes of a load test to the evidence, and reports whether they
// stopped the trial.
func (t *Trial) RecordLoadTest(c Copies) bool {
	if t.state != Running {
		return false
	}
	t.ownCopies = t.ownCopies.Plus(c)
	return t.stopIfWorse()
}

// copies returns the outcomes of the load tests of all instances.
func (t *Trial) copies() Copies { return t.ownCopies.Plus(t.others.Copies) }
