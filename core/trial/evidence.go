package trial

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"banyanyard/core/rollout"
	"banyanyard/core/tally"
)

// A reportSum is the sum of reports. The sum is kept up to date as reports come, since its
// parts are needed for each of them: the work of a report must not grow with the number of
// instances.
type reportSum struct {
	Kinds     map[string]rollout.Evidence // by kind of request
	Moved     map[string]rollout.Arm      // by kind of request
	Exposure  Exposure
	LoadTests int
	Copies    Copies
	Copyable  int // number of reports
}

// replace takes the report of an instance in place of its one before, which is zero for the
// first report of a start.
func (s *reportSum) replace(before, r Report) {
	if s.Kinds == nil {
		s.Kinds = map[string]rollout.Evidence{}
		s.Moved = map[string]rollout.Arm{}
	}
	for kind, e := range before.Kinds {
		s.Kinds[kind] = s.Kinds[kind].Minus(e)
	}
	for kind, e := range r.Kinds {
		s.Kinds[kind] = s.Kinds[kind].Plus(e)
	}
	for kind, a := range before.Moved {
		s.Moved[kind] = s.Moved[kind].Minus(a)
	}
	for kind, a := range r.Moved {
		s.Moved[kind] = s.Moved[kind].Plus(a)
	}
	s.Exposure = s.Exposure.Minus(before.Exposure).Plus(r.Exposure)
	s.LoadTests += r.LoadTests - before.LoadTests
	s.Copies = s.Copies.Minus(before.Copies).Plus(r.Copies)
	if r.Copyable && !before.Copyable {
		s.Copyable++
	}
}

// totalEvidence returns the evidence of all instances about a kind of request.
func (t *Trial) totalEvidence(kind string) rollout.Evidence {
	return t.ownEvidence[kind].Plus(t.others.Kinds[kind])
}

// movedEvidence is totalEvidence with, of the new version, only what has been observed
// since the traffic moved.
func (t *Trial) movedEvidence(kind string) rollout.Evidence {
	return rollout.Evidence{New: t.ownMoved[kind].Plus(t.others.Moved[kind]), Old: t.totalEvidence(kind).Old}
}

// goodAnswers returns the number of good answers of the new version at all instances.
func (t *Trial) goodAnswers() int {
	n := 0
	for kind := range t.evidenceKinds() {
		n += t.totalEvidence(kind).New.Errors.Good
	}
	return max(n, t.summaryGood)
}

// evidenceKinds returns the kinds of requests that there is evidence about.
func (t *Trial) evidenceKinds() map[string]bool {
	kinds := map[string]bool{}
	for kind := range t.ownEvidence {
		kinds[kind] = true
	}
	for kind := range t.others.Kinds {
		kinds[kind] = true
	}
	return kinds
}

// stopIfWorse stops the trial when the new version is worse for one kind of request or
// for all kinds together, since the order or since the traffic moved, or under load. It
// reports whether it did.
func (t *Trial) stopIfWorse() bool {
	reason := t.findRegression(t.totalEvidence)
	if reason == "" {
		reason = t.findFailingCopies()
	}
	if reason == "" && t.moveSeen {
		reason = t.findRegression(t.movedEvidence)
	}
	return reason != "" && t.AdoptState(Stopped, reason)
}

// findRegression returns what shows that the new version is worse, or "".
func (t *Trial) findRegression(evidence func(kind string) rollout.Evidence) string {
	var total rollout.Evidence
	for kind := range t.evidenceKinds() {
		e := evidence(kind)
		if reason := rollout.FindRegression(e, latencyThreshold, eventGapThreshold); reason != "" {
			return fmt.Sprintf("%s: %s", kind, reason)
		}
		total = total.Plus(e)
	}
	return rollout.FindRegression(total, latencyThreshold, eventGapThreshold)
}

// isSuspicious reports whether the evidence speaks against the new version.
func (t *Trial) isSuspicious() bool {
	return t.copiesLogRatio() > maxCopiesLogRatio || t.speaksAgainst(t.totalEvidence) || t.moveSeen && t.speaksAgainst(t.movedEvidence)
}

// speaksAgainst compares the versions by each kind of request, by all together, and by the
// sum over the kinds, each compared with its own rate on the old version: all together, a
// kind that fails by itself hides failures of the others.
func (t *Trial) speaksAgainst(evidence func(kind string) rollout.Evidence) bool {
	var total rollout.Evidence
	var failures, durations float64
	for kind := range t.evidenceKinds() {
		e := evidence(kind)
		if rollout.MaxLogRatio(e, latencyThreshold, eventGapThreshold) > maxKindLogRatio {
			return true
		}
		total = total.Plus(e)
		f, d := rollout.FineLogRatios(e)
		failures += f
		durations += d
	}
	return failures > maxFailureLogRatio || max(durations, rollout.MaxLogRatio(total, latencyThreshold, eventGapThreshold)) > maxLogRatio
}

func (t *Trial) copiesLogRatio() float64 {
	c := t.copies()
	return rollout.CopiesLogRatio(c.New, c.Old)
}

// findFailingCopies returns the figures if the load tests show that the new version fails
// under load, or "".
func (t *Trial) findFailingCopies() string {
	c := t.copies()
	return rollout.FindFailingCopies(c.New, c.Old)
}

// EvidenceText describes the evidence of all instances for logs: by kind of request and
// criterion, the bad and all outcomes of the new and of the old version.
func (t *Trial) EvidenceText() string {
	var parts []string
	for _, kind := range slices.Sorted(maps.Keys(t.evidenceKinds())) {
		e := t.totalEvidence(kind)
		for _, c := range criteria(e) {
			if c.new.N() > 0 {
				parts = append(parts, fmt.Sprintf("%s %s %d/%d old %d/%d", kind, c.name, c.new.Bad, c.new.N(), c.old.Bad, c.old.N()))
			}
		}
	}
	if c := t.copies(); c.New.N() > 0 {
		parts = append(parts, fmt.Sprintf("copies under load %d/%d old %d/%d", c.New.Bad, c.New.N(), c.Old.Bad, c.Old.N()))
	}
	return strings.Join(parts, "; ")
}

// A criterion is one pair of counts in the evidence.
type criterion struct {
	name     string
	new, old tally.Counts
}

func criteria(e rollout.Evidence) []criterion {
	return []criterion{
		{name: "errors", new: e.New.Errors, old: e.Old.Errors},
		{name: "failures", new: e.New.Failures, old: e.Old.Failures},
		{name: "slow", new: e.New.Durations, old: e.Old.Durations},
		{name: "late", new: e.New.Latency, old: e.Old.Latency},
		{name: "gaps", new: e.New.EventGaps, old: e.Old.EventGaps},
		{name: "over-median", new: e.New.GapsOverMedian, old: e.Old.GapsOverMedian},
	}
}
