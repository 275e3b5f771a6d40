package node

import (
	"sync"
	"time"

	"banyanyard/core/rollout"
	"banyanyard/core/rules"
	"banyanyard/core/tally"
)

// slowFirstToken is the time to the first token above which an answer counts as
// slow.
const slowFirstToken = 1100 * time.Millisecond

// rollouts holds this instance's view of the roll-outs. It is safe for
// concurrent use.
type rollouts struct {
	mu    sync.Mutex
	byKey map[string]*rolloutProgress // guarded by mu; by state key
	rank  int                         // guarded by mu; of this instance among the live ones
}

// A rolloutProgress is the state of one roll-out and the evidence about it.
type rolloutProgress struct {
	rule        *rules.Rollout
	state       rollout.State
	gate        rollout.Gate
	own         rollout.Evidence            // counted at this instance; New counts since the segment began
	others      map[string]rollout.Evidence // by instance, of the same segment
	earlierGood int                         // good answers of earlier segments
	sentVersion uint64                      // version of the evidence that was gossiped last
}

// progress returns the progress of a rule's roll-out, which starts at the
// rule's step. The caller must hold mu.
func (r *rollouts) progress(rule *rules.Rollout) *rolloutProgress {
	if r.byKey == nil {
		r.byKey = map[string]*rolloutProgress{}
	}
	t := r.byKey[rule.StateKey()]
	if t == nil {
		t = &rolloutProgress{state: rollout.State{Step: rule.Step, Segment: rule.Step, Since: time.Now()}, others: map[string]rollout.Evidence{}}
		r.byKey[rule.StateKey()] = t
	}
	t.rule = rule
	return t
}

// total returns the sum of the evidence of all instances.
func (p *rolloutProgress) total() rollout.Evidence {
	sum := p.own
	for _, e := range p.others {
		sum = sum.Plus(e)
	}
	return sum
}

// Enter implements resolver.Rollouts. A request that has entered must end with
// recordFinish.
func (r *rollouts) Enter(rule *rules.Rollout, percentile int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.progress(rule)
	if percentile >= t.state.SharePercent(rule.SharesPercent) {
		return false
	}
	good := max(t.earlierGood, t.total().New.Errors.Good)
	return t.gate.Admit(rollout.IsPilot(r.rank), good)
}

// Stopped implements resolver.Rollouts.
func (r *rollouts) Stopped(rule *rules.Rollout) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.progress(rule).state.Stopped != ""
}

// recordFinish records the end of a request that has entered the gate.
func (r *rollouts) recordFinish(rule *rules.Rollout, answered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.progress(rule).gate.Finish(answered)
}

// addEvidence adds to the evidence about a version. It does nothing if the
// version takes part in no roll-out.
func (r *rollouts) addEvidence(set *rules.Set, t rules.Target, a rollout.Arm) {
	rule := set.Rollouts[t.Model]
	if rule == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	tr := r.progress(rule)
	switch t.Version {
	case rule.To:
		tr.own.New = tr.own.New.Plus(a)
	case rule.From:
		tr.own.Old = tr.own.Old.Plus(a)
	}
}

// recordRun adds the outcome of one run at an upstream to the evidence. A
// firstToken of 0 means that the latency is unknown.
func (r *rollouts) recordRun(set *rules.Set, t rules.Target, completed bool, firstToken time.Duration) {
	a := rollout.Arm{Errors: countOf(completed)}
	if completed && firstToken > 0 {
		a.Latency = countOf(firstToken <= slowFirstToken)
	}
	r.addEvidence(set, t, a)
}

func countOf(good bool) tally.Counts {
	if good {
		return tally.Counts{Good: 1}
	}
	return tally.Counts{Bad: 1}
}

// mergeState joins a state with the known one and reports whether that changed
// it. A new segment restarts the evidence about the new version.
func (r *rollouts) mergeState(rule *rules.Rollout, s rollout.State) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.progress(rule)
	joined := rollout.Join(t.state, s)
	if joined.Version() == t.state.Version() {
		return false
	}
	if joined.Segment != t.state.Segment {
		t.earlierGood = max(t.earlierGood, t.total().New.Errors.Good)
		t.own.New = rollout.Arm{}
		clear(t.others)
	}
	t.state = joined
	return true
}

// mergeEvidence replaces another instance's evidence. It ignores evidence of
// another segment.
func (r *rollouts) mergeEvidence(rule *rules.Rollout, segment int, instance string, e rollout.Evidence) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.progress(rule); t.state.Segment == segment {
		t.others[instance] = e
	}
}

// nextState returns the state that follows from the evidence, and whether it
// differs from the present one. With hold, the roll-out may stop but not
// advance.
func (r *rollouts) nextState(rule *rules.Rollout, now time.Time, hold bool) (rollout.State, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.progress(rule)
	return rollout.Advance(t.state, t.total(), len(rule.SharesPercent), now, hold)
}

// takeChangedEvidence returns this instance's evidence and marks it as
// gossiped. It reports false if the evidence has not changed since it was
// gossiped last.
func (r *rollouts) takeChangedEvidence(rule *rules.Rollout) (evidenceMessage, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.progress(rule)
	m := evidenceMessage{Segment: t.state.Segment, Evidence: t.own}
	version := m.version()
	if version == t.sentVersion {
		return m, false
	}
	t.sentVersion = version
	return m, true
}

// An evidenceMessage is the gossip data of one instance's evidence.
type evidenceMessage struct {
	Segment  int              `json:"segment"`
	Evidence rollout.Evidence `json:"evidence"`
}

// version returns the version of the gossip entry. It orders the messages of
// one instance by segment and then by the number of observations.
func (m *evidenceMessage) version() uint64 {
	n := 0
	for _, a := range [...]rollout.Arm{m.Evidence.New, m.Evidence.Old} {
		n += a.Errors.N() + a.Latency.N() + a.Ratings.N()
	}
	return uint64(m.Segment)<<40 | uint64(n)
}

// setRank sets the number of live members that sort before this instance.
func (r *rollouts) setRank(rank int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rank = rank
}
