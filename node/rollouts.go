package node

import (
	"sync"
	"time"

	"banyanyard/core/rollout"
	"banyanyard/core/rules"
	"banyanyard/core/tally"
)

// slowAfter is the time to the first token above which an answer counts as slow.
const slowAfter = 1100 * time.Millisecond

// rollouts guards what this instance knows about the roll-outs.
type rollouts struct {
	mu    sync.Mutex
	byKey map[string]*trial // guarded by mu
	rank  int               // guarded by mu; of this instance among the live ones
}

// A trial is one roll-out.
type trial struct {
	rule   *rules.Rollout
	state  rollout.State
	gate   rollout.Gate
	own    rollout.Evidence            // counted here; New since the segment began
	others map[string]rollout.Evidence // by instance, of the same segment
	proven int                         // good answers of earlier segments
	sent   uint64                      // version of the evidence that was spread last
}

// trial returns the trial of a rule. Its caller holds mu.
func (r *rollouts) trial(rule *rules.Rollout) *trial {
	if r.byKey == nil {
		r.byKey = map[string]*trial{}
	}
	t := r.byKey[rule.StateKey()]
	if t == nil {
		t = &trial{state: rollout.State{Step: rule.Step, Segment: rule.Step, Since: time.Now()}, others: map[string]rollout.Evidence{}}
		r.byKey[rule.StateKey()] = t
	}
	t.rule = rule
	return t
}

// total returns the evidence of all instances.
func (t *trial) total() rollout.Evidence {
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
	t := r.trial(rule)
	if percentile >= t.state.SharePercent(rule.SharesPercent) {
		return false
	}
	good := max(t.proven, t.total().New.Errors.Good)
	return t.gate.Admit(rollout.IsPilot(r.rank), good)
}

// Stopped implements resolver.Rollouts.
func (r *rollouts) Stopped(rule *rules.Rollout) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.trial(rule).state.Stopped != ""
}

// leave records the end of a request that has entered the gate.
func (r *rollouts) leave(rule *rules.Rollout, answered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.trial(rule).gate.Finish(answered)
}

// count adds to the evidence about a version that takes part in a roll-out.
func (r *rollouts) count(set *rules.Set, t rules.Target, a rollout.Arm) {
	rule := set.Rollouts[t.Model]
	if rule == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	tr := r.trial(rule)
	switch t.Version {
	case rule.To:
		tr.own.New = tr.own.New.Plus(a)
	case rule.From:
		tr.own.Old = tr.own.Old.Plus(a)
	}
}

// countRun counts the outcome of one run at an upstream.
func (r *rollouts) countRun(set *rules.Set, t rules.Target, answered bool, firstToken time.Duration) {
	a := rollout.Arm{Errors: outcomeOf(answered)}
	if answered && firstToken > 0 {
		a.Latency = outcomeOf(firstToken <= slowAfter)
	}
	r.count(set, t, a)
}

func outcomeOf(good bool) tally.Counts {
	if good {
		return tally.Counts{Good: 1}
	}
	return tally.Counts{Bad: 1}
}

// adopt joins a state of a roll-out and reports whether it was news.
func (r *rollouts) adopt(rule *rules.Rollout, s rollout.State) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.trial(rule)
	joined := rollout.Join(t.state, s)
	if joined.Version() == t.state.Version() {
		return false
	}
	if joined.Segment != t.state.Segment {
		t.proven = max(t.proven, t.total().New.Errors.Good)
		t.own.New = rollout.Arm{}
		clear(t.others)
	}
	t.state = joined
	return true
}

// learn takes another instance's evidence into account.
func (r *rollouts) learn(rule *rules.Rollout, segment int, instance string, e rollout.Evidence) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.trial(rule); t.state.Segment == segment {
		t.others[instance] = e
	}
}

// next returns the state that the evidence leads to.
func (r *rollouts) next(rule *rules.Rollout, now time.Time, hold bool) (rollout.State, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.trial(rule)
	return rollout.Advance(t.state, t.total(), len(rule.SharesPercent), now, hold)
}

// fresh returns this instance's evidence when it has changed since it was
// spread.
func (r *rollouts) fresh(rule *rules.Rollout) (evidenceMessage, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.trial(rule)
	m := evidenceMessage{Segment: t.state.Segment, Evidence: t.own}
	version := m.version()
	if version == t.sent {
		return m, false
	}
	t.sent = version
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
