// Package rollout moves sessions to a new version step by step, and stops on
// its own when the version is worse than the old one.
//
// All instances count evidence, which is added up. In each step a sequential
// probability ratio test (Wald, 1945) compares the new version with the old
// one, which runs at the same time, by errors, slow answers and ratings. A stop
// only reduces traffic to the new version, so any instance that sees it obeys
// it at once; a larger share is granted only by a compare-and-set of the
// roll-out's row, by the one instance that drives the roll-out.
//
// Invariants:
//   - Join of two states is the later step, and a stopped state wins over any
//     other;
//   - Advance never leaves a stopped state.
package rollout

import (
	"fmt"
	"math"
	"time"

	"banyanyard/core/tally"
)

const (
	// falseStopProbability is the probability that one test in one segment
	// stops a version that is within the tolerance.
	falseStopProbability = 0.0004
	// minBadRate is the rate of bad outcomes that is always tolerated.
	minBadRate = 0.02
	// MinStepRequests is the number of requests to the new version after which
	// a step other than the last may end.
	MinStepRequests = 100
	// FinalRounds is the number of rounds of the last step. Each round starts
	// with no evidence about the new version, so that a late regression is
	// detected.
	FinalRounds = 3
	// MinRoundRequests is the number of requests to the new version after which
	// a round of the last step may end.
	MinRoundRequests = 500
	// MinStepTime is the shortest duration of a step or round.
	MinStepTime = 2 * time.Minute
)

// A Threshold says how much worse than the old version the new one may be, and
// from which difference on it is to be stopped.
type Threshold struct {
	Tolerance  float64 // added to the old version's rate of bad outcomes
	EffectSize float64 // excess over the tolerated rate that the test is to detect
}

// DefaultThreshold is the threshold for outcomes that depend on the version
// alone.
var DefaultThreshold = Threshold{Tolerance: 0.01, EffectSize: 0.10}

// An Arm is the evidence about one version: counts of good and bad outcomes by
// criterion.
type Arm struct {
	Errors    tally.Counts `json:"errors,omitzero"`  // Bad: not answered
	Latency   tally.Counts `json:"latency,omitzero"` // Bad: late first token
	Ratings   tally.Counts `json:"ratings,omitzero"` // Bad: insufficient answer
	EventGaps tally.Counts `json:"pace,omitzero"`    // Bad: long time between events of a stream
	// GapsOverMedian counts times between events. Bad: longer than the old
	// version's median.
	GapsOverMedian tally.Counts `json:"over-median,omitzero"`
	// Failures counts answers. Bad: the upstream reported a failure.
	Failures tally.Counts `json:"failures,omitzero"`
	// Durations counts answers to requests without a prompt. Bad: slow.
	Durations tally.Counts `json:"durations,omitzero"`
}

// Plus returns the sum of two arms.
func (a Arm) Plus(o Arm) Arm {
	return Arm{
		Errors: a.Errors.Plus(o.Errors), Latency: a.Latency.Plus(o.Latency), Ratings: a.Ratings.Plus(o.Ratings),
		EventGaps: a.EventGaps.Plus(o.EventGaps), GapsOverMedian: a.GapsOverMedian.Plus(o.GapsOverMedian),
		Failures: a.Failures.Plus(o.Failures), Durations: a.Durations.Plus(o.Durations),
	}
}

// Minus returns the difference of two arms.
func (a Arm) Minus(o Arm) Arm {
	return Arm{
		Errors: a.Errors.Minus(o.Errors), Latency: a.Latency.Minus(o.Latency), Ratings: a.Ratings.Minus(o.Ratings),
		EventGaps: a.EventGaps.Minus(o.EventGaps), GapsOverMedian: a.GapsOverMedian.Minus(o.GapsOverMedian),
		Failures: a.Failures.Minus(o.Failures), Durations: a.Durations.Minus(o.Durations),
	}
}

// Evidence is the evidence about both versions: about the new one since the
// segment began, about the old one since the roll-out began, as few sessions
// use the old one towards the end.
type Evidence struct {
	New Arm `json:"new,omitzero"`
	Old Arm `json:"old,omitzero"`
}

// Plus returns the sum of two pieces of evidence.
func (e Evidence) Plus(o Evidence) Evidence {
	return Evidence{New: e.New.Plus(o.New), Old: e.Old.Plus(o.Old)}
}

// Minus returns the difference of two pieces of evidence.
func (e Evidence) Minus(o Evidence) Evidence {
	return Evidence{New: e.New.Minus(o.New), Old: e.Old.Minus(o.Old)}
}

// A State is the progress of a roll-out. The zero State is at the first step.
type State struct {
	Step    int       `json:"step"`    // index into the rule's shares
	Segment int       `json:"segment"` // incremented each time the evidence about the new version is reset
	Rounds  int       `json:"rounds"`  // finished rounds of the last step
	Done    bool      `json:"done"`
	Stopped string    `json:"stopped"` // reason with figures; empty unless stopped
	Since   time.Time `json:"since"`   // when the step or round began, or the roll-out ended
}

// Version returns a number by which states are ordered: by segment, with a
// stopped state after all others.
func (s State) Version() uint64 {
	v := uint64(s.Segment) << 2
	if s.Done {
		v |= 1
	}
	if s.Stopped != "" {
		v |= 1 << 62
	}
	return v
}

// Join returns the later of two states.
func Join(a, b State) State {
	if b.Version() > a.Version() {
		return b
	}
	return a
}

// SharePercent returns the percentage of new sessions that get the new version.
func (s State) SharePercent(shares []int) int {
	if s.Stopped != "" || len(shares) == 0 {
		return 0
	}
	return shares[min(s.Step, len(shares)-1)]
}

// An outcomeTest compares the outcomes of both versions by one criterion.
type outcomeTest struct {
	name      string
	new, old  tally.Counts
	tolerated float64 // rate of bad outcomes of a version that is not worse
	worse     float64 // rate from which a version is to be stopped; above tolerated
	falseStop float64 // probability of stopping a version with the tolerated rate
}

// comparedTest returns a test whose rates follow from those of the old version.
func comparedTest(name string, newCounts, oldCounts tally.Counts, t Threshold) outcomeTest {
	tolerated := min(max(upperRate(oldCounts), minBadRate)+t.Tolerance, 1-2*t.EffectSize)
	return outcomeTest{name: name, new: newCounts, old: oldCounts, tolerated: tolerated, worse: tolerated + t.EffectSize, falseStop: falseStopProbability}
}

// fineTest returns a test for small differences. Unlike comparedTest it tolerates no rate
// beyond that of the old version, so it suits only outcomes that the upstream decides.
func fineTest(name string, newCounts, oldCounts tally.Counts, t Threshold) outcomeTest {
	// One more of each, since few answers do not show that the old rate is low.
	old := oldCounts.Plus(tally.Counts{Good: 1, Bad: 1})
	tolerated := min(upperRate(old)+t.Tolerance, 1-2*t.EffectSize)
	return outcomeTest{name: name, new: newCounts, old: oldCounts, tolerated: tolerated, worse: tolerated + t.EffectSize, falseStop: falseStopProbability}
}

var (
	// failureThreshold and durationThreshold are the thresholds of fine tests.
	failureThreshold  = Threshold{Tolerance: 0.005, EffectSize: 0.04}
	durationThreshold = Threshold{Tolerance: 0.01, EffectSize: 0.06}
)

// FindRegression returns by which criterion the new version is worse than the
// old one, with figures, or "" if none shows it. latency and eventGaps are the
// thresholds for late first tokens and for long times between events; errors
// and ratings use DefaultThreshold.
func FindRegression(e Evidence, latency, eventGaps Threshold) string {
	for _, t := range outcomeTests(e, latency, eventGaps) {
		if t.newIsWorse() {
			return fmt.Sprintf("%s: %d of %d with the new version, %d of %d with the old", t.name, t.new.Bad, t.new.N(), t.old.Bad, t.old.N())
		}
	}
	return ""
}

// copiesThreshold is the threshold for copies of a request that was answered well, and
// copiesPrior the number of good answers that are added to those of the old version, so that
// one failure in few does not look like the rate.
var copiesThreshold = Threshold{Tolerance: 0.05, EffectSize: 0.20}

const copiesPrior = 8

func copiesTest(newCopies, oldCopies tally.Counts) outcomeTest {
	t := copiesThreshold
	tolerated := min(float64(oldCopies.Bad)/float64(oldCopies.N()+copiesPrior)+t.Tolerance, 1-2*t.EffectSize)
	return outcomeTest{name: "copies under load", new: newCopies, old: oldCopies, tolerated: tolerated, worse: tolerated + t.EffectSize, falseStop: falseStopProbability}
}

// CopiesLogRatio returns the logarithm of the likelihood that a version fails under load,
// relative to that it does not, given the outcomes of copies of requests which the old
// version had answered well, on the new version under load and on the old version.
func CopiesLogRatio(newCopies, oldCopies tally.Counts) float64 {
	t := copiesTest(newCopies, oldCopies)
	return t.logRatio()
}

// FindFailingCopies returns the figures if the outcomes of such copies show that the version
// fails under load, or "".
func FindFailingCopies(newCopies, oldCopies tally.Counts) string {
	if t := copiesTest(newCopies, oldCopies); t.newIsWorse() {
		return fmt.Sprintf("%s: %d of %d with the new version, %d of %d with the old", t.name, t.new.Bad, t.new.N(), t.old.Bad, t.old.N())
	}
	return ""
}

const (
	// toleratedOverMedian is the tolerated rate of times between events over the old
	// version's median, where upstreams have no more load than those of the old
	// version: half, and some for chance.
	toleratedOverMedian = 0.6
	// worseOverMedian is the rate for a version with slower streams.
	worseOverMedian = 0.9
	// falseStopOverMedian is larger than falseStopProbability because a sound version
	// with less load is far below the tolerated rate.
	falseStopOverMedian = 0.005
)

func outcomeTests(e Evidence, latency, eventGaps Threshold) []outcomeTest {
	return []outcomeTest{
		comparedTest("errors", e.New.Errors, e.Old.Errors, DefaultThreshold),
		comparedTest("slow first tokens", e.New.Latency, e.Old.Latency, latency),
		comparedTest("slow streams", e.New.EventGaps, e.Old.EventGaps, eventGaps),
		{name: "streams slower than the median", new: e.New.GapsOverMedian, old: e.Old.GapsOverMedian, tolerated: toleratedOverMedian, worse: worseOverMedian, falseStop: falseStopOverMedian},
		comparedTest("insufficient answers", e.New.Ratings, e.Old.Ratings, DefaultThreshold),
		fineTest("failures", e.New.Failures, e.Old.Failures, failureThreshold),
		fineTest("slow answers", e.New.Durations, e.Old.Durations, durationThreshold),
	}
}

// MaxLogRatio returns the largest logarithm, over the criteria with outcomes of the
// new version, of the likelihood that it is worse relative to that it is not; 0 if
// there are none. The parameters are those of FindRegression.
func MaxLogRatio(e Evidence, latency, eventGaps Threshold) float64 {
	largest, found := 0.0, false
	for _, t := range outcomeTests(e, latency, eventGaps) {
		if t.new.N() > 0 && (!found || t.logRatio() > largest) {
			largest, found = t.logRatio(), true
		}
	}
	return largest
}

// FineLogRatios returns the logarithms of the likelihood ratios of the fine tests, of
// failures and of slow answers. Those of several kinds of requests may be added up.
func FineLogRatios(e Evidence) (failures, durations float64) {
	f := fineTest("failures", e.New.Failures, e.Old.Failures, failureThreshold)
	d := fineTest("slow answers", e.New.Durations, e.Old.Durations, durationThreshold)
	return f.logRatio(), d.logRatio()
}

// newIsWorse reports whether the outcomes of the new version are sufficiently
// more likely under the tolerated rate plus the effect size than under the
// tolerated rate.
func (t *outcomeTest) newIsWorse() bool { return t.logRatio() > math.Log(1/t.falseStop) }

// logRatio returns the logarithm of the ratio of these two likelihoods.
func (t *outcomeTest) logRatio() float64 {
	return float64(t.new.Bad)*math.Log(t.worse/t.tolerated) + float64(t.new.Good)*math.Log((1-t.worse)/(1-t.tolerated))
}

// upperRate returns the rate of bad outcomes plus one standard error, which the
// true rate seldom exceeds.
func upperRate(c tally.Counts) float64 {
	if c.N() == 0 {
		return 0
	}
	rate := float64(c.Bad) / float64(c.N())
	return rate + math.Sqrt(rate*(1-rate)/float64(c.N()))
}

// Advance returns the next state for the evidence of the current segment, and
// whether it differs from s. steps is the number of steps. While hold is set,
// because not all instances are visible, the roll-out may stop but not advance.
func Advance(s State, e Evidence, steps int, now time.Time, hold bool) (State, bool) {
	if s.Stopped != "" || s.Done {
		return s, false
	}
	if reason := FindRegression(e, DefaultThreshold, DefaultThreshold); reason != "" {
		return State{Step: s.Step, Segment: s.Segment, Stopped: reason, Since: now}, true
	}
	if hold {
		return s, false
	}
	if now.Sub(s.Since) < MinStepTime {
		return s, false
	}
	n := e.New.Errors.N()
	last := s.Step >= steps-1
	switch {
	case !last && n >= MinStepRequests:
		return State{Step: s.Step + 1, Segment: s.Segment + 1, Since: now}, true
	case last && n >= MinRoundRequests:
		rounds := s.Rounds + 1
		return State{Step: s.Step, Segment: s.Segment + 1, Rounds: rounds, Done: rounds == FinalRounds, Since: now}, true
	}
	return s, false
}
