package node

import (
	"sync"
	"time"

	"banyanyard/core/rollout"
	"banyanyard/core/rules"
	"banyanyard/core/tally"
)

// slowFirstToken is the time to the first token above which an answer counts as slow.
const slowFirstToken = 1100 * time.Millisecond

// rollouts guards what this instance knows about the roll-outs.
type rollouts struct {
	mu    sync.Mutex
	byKey map[string]*rolloutProgress // guarded by mu
	rank  int                         // guarded by mu; of this instance among the live ones
}

// A rolloutProgress is one roll-out.
type rolloutProgress struct {
	rule        *rules.Rollout
	state       rollout.State
	gate        rollout.Gate
	own         rollout.Evidence            // counted here; New since the segment began
	others      map[string]rollout.Evidence // by instance, of the same segment
	earlierGood int                         // good answers of earlier segments
	sentVersion uint64                      // version of the evidence that was spread last
}

// progress returns the progress of a rule. Its caller holds mu.
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

// total returns the evidence of all instances.
func (t *rolloutProgress) total() rollout.Evidence {
	sum := t.own
	for _, e := range t.others {
		sum = sum.Plus(e)
	}
	return sum
}

// Enter implements resolver.Rollouts.
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

// addEvidence adds to the evidence about a version that takes part in a roll-out.
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

// recordRun counts the outcome of one run at an upstream.
func (r *rollouts) recordRun(set *rules.Set, t rules.Target, answered bool, firstToken time.Duration) {
	a := rollout.Arm{Errors: countOf(answered)}
	if answered && firstToken > 0 {
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

// mergeState joins a state of a roll-out and reports whether it was news.
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

// mergeEvidence takes another instance's evidence into account.
func (r *rollouts) mergeEvidence(rule *rules.Rollout, segment int, instance string, e rollout.Evidence) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.progress(rule); t.state.Segment == segment {
		t.others[instance] = e
	}
}

// nextState returns the state that the evidence leads to.
func (r *rollouts) nextState(rule *rules.Rollout, now time.Time, hold bool) (rollout.State, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.progress(rule)
	return rollout.Advance(t.state, t.total(), len(rule.SharesPercent), now, hold)
}

// takeChangedEvidence returns this instance's evidence when it has changed since it was
// spread.
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

// An evidenceMessage is one instance's evidence in gossip.
type evidenceMessage struct {
	Segment  int              `json:"segment"`
	Evidence rollout.Evidence `json:"evidence"`
}

// version orders the messages of one instance.
func (m *evidenceMessage) version() uint64 {
	n := 0
	for _, a := range [...]rollout.Arm{m.Evidence.New, m.Evidence.Old} {
		n += a.Errors.N() + a.Latency.N() + a.Ratings.N()
	}
	return uint64(m.Segment)<<40 | uint64(n)
}

func (r *rollouts) setRank(rank int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rank = rank
}
