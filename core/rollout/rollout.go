// Package rollout moves sessions to a new version step by step, and stops on
// its own when the version is bad.
//
// The evidence is counted by all instances and added up. In each step a
// sequential probability ratio test (Wald, 1945) compares the new version with
// the old one running beside it, by errors, slow answers and ratings. A stop
// only takes work away, so that any instance that sees it obeys it at once; a
// larger share is granted only by a compare-and-set of the roll-out's row, by
// the one instance that drives it.
//
// Invariants:
//   - Join of two states is the later step, and a stop stays;
//   - Advance never leads out of a stop.
package rollout

import (
	"fmt"
	"math"
	"time"

	"banyanyard/core/tally"
)

const (
	// falseStopProbability is the chance that one test of one segment stops a version that
	// is no worse than tolerated.
	falseStopProbability = 0.0004
	// minBadRate is the rate of bad outcomes that no version is blamed for.
	minBadRate = 0.02
	// MinStepRequests is the number of requests to the new version that a step
	// needs.
	MinStepRequests = 100
	// FinalRounds is the number of rounds of the last step. Each begins with fresh
	// evidence about the new version, so that a late change shows.
	FinalRounds = 3
	// MinRoundRequests is the number of requests that a round needs.
	MinRoundRequests = 500
	// MinStepTime is the shortest time of a step.
	MinStepTime = 2 * time.Minute
)

// A Threshold says how much worse than the old version the new one may be, and is not.
type Threshold struct {
	Tolerance  float64 // added to the old version's rate of bad outcomes
	EffectSize float64 // difference from the tolerated rate that a test looks for
}

// DefaultThreshold is the bar for outcomes that nothing but the version decides.
var DefaultThreshold = Threshold{Tolerance: 0.01, EffectSize: 0.10}

// An Arm is the evidence about one version. Each count is of bad and good
// outcomes.
type Arm struct {
	Errors    tally.Counts `json:"errors"`  // Bad: not answered
	Latency   tally.Counts `json:"latency"` // Bad: first token later than SlowAfter
	Ratings   tally.Counts `json:"ratings"` // Bad: did not suffice
	EventGaps tally.Counts `json:"pace"`    // Bad: events of a stream far apart
}

// Plus returns the sum of two arms.
func (a Arm) Plus(o Arm) Arm {
	return Arm{Errors: a.Errors.Plus(o.Errors), Latency: a.Latency.Plus(o.Latency), Ratings: a.Ratings.Plus(o.Ratings), EventGaps: a.EventGaps.Plus(o.EventGaps)}
}

// Evidence is the evidence about both versions: about the new one since the
// segment began, about the old one since the roll-out began, since few sessions
// are left to it at the end.
type Evidence struct {
	New Arm `json:"new"`
	Old Arm `json:"old"`
}

// Plus returns the sum of two pieces of evidence.
func (e Evidence) Plus(o Evidence) Evidence {
	return Evidence{New: e.New.Plus(o.New), Old: e.Old.Plus(o.Old)}
}

// A State is how far a roll-out has come. The zero State is at the beginning.
type State struct {
	Step    int       `json:"step"`    // index into the rule's shares
	Segment int       `json:"segment"` // rises with each fresh start of the evidence
	Rounds  int       `json:"rounds"`  // of the last step that are over
	Done    bool      `json:"done"`
	Stopped string    `json:"stopped"` // why, with figures; empty while it runs
	Since   time.Time `json:"since"`   // when the step or the end began
}

// Version orders states.
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

// A outcomeTest compares one kind of outcome.
type outcomeTest struct {
	name     string
	new, old tally.Counts
	bar      Threshold
}

// FindRegression returns why the new version is bad, or "" while it isn't known to be.
// slow and paced are the bars for slow first tokens and for slow streams.
func FindRegression(e Evidence, slow, paced Threshold) string {
	tests := [...]outcomeTest{
		{name: "errors", new: e.New.Errors, old: e.Old.Errors, bar: DefaultThreshold},
		{name: "slow first tokens", new: e.New.Latency, old: e.Old.Latency, bar: slow},
		{name: "slow streams", new: e.New.EventGaps, old: e.Old.EventGaps, bar: paced},
		{name: "insufficient answers", new: e.New.Ratings, old: e.Old.Ratings, bar: DefaultThreshold},
	}
	for _, t := range tests {
		if t.newIsWorse() {
			return fmt.Sprintf("%s: %d of %d with the new version, %d of %d with the old", t.name, t.new.Bad, t.new.N(), t.old.Bad, t.old.N())
		}
	}
	return ""
}

// newIsWorse reports whether the likelihood of the outcomes under a rate that is worse
// by the given difference exceeds that under a tolerated rate.
func (t *outcomeTest) newIsWorse() bool {
	p0 := min(max(upperRate(t.old), minBadRate)+t.bar.Tolerance, 1-2*t.bar.EffectSize)
	p1 := p0 + t.bar.EffectSize
	ratio := float64(t.new.Bad)*math.Log(p1/p0) + float64(t.new.Good)*math.Log((1-p1)/(1-p0))
	return ratio > math.Log(1/falseStopProbability)
}

// upperRate returns a rate of bad outcomes that the true one is rarely above.
func upperRate(c tally.Counts) float64 {
	if c.N() == 0 {
		return 0
	}
	rate := float64(c.Bad) / float64(c.N())
	return rate + math.Sqrt(rate*(1-rate)/float64(c.N()))
}

// Advance returns the next state for the evidence of the current segment, and
// whether it differs. A roll-out that can't see all instances holds: it may
// stop, but not grow.
func Advance(s State, e Evidence, steps int, now time.Time, hold bool) (State, bool) {
	if s.Stopped != "" || s.Done {
		return s, false
	}
	if why := FindRegression(e, DefaultThreshold, DefaultThreshold); why != "" {
		return State{Step: s.Step, Segment: s.Segment, Stopped: why, Since: now}, true
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
