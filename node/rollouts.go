package node

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"time"

	"banyanyard/core/gossip"
	"banyanyard/core/member"
	"banyanyard/core/rollout"
	"banyanyard/core/rules"
	"banyanyard/core/tally"
	"banyanyard/io/platform"
)

const (
	// slowAfter is the time to the first token above which an answer counts as
	// slow.
	slowAfter = 1100 * time.Millisecond
	// evidenceInterval is the time between messages about evidence in a small
	// deployment; it grows with the members.
	evidenceInterval = time.Second
	// membersPerEvidence is the number of members from which on it grows.
	membersPerEvidence = 20
)

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
	t := r.byKey[rule.Key()]
	if t == nil {
		t = &trial{state: rollout.State{Step: rule.Step, Segment: rule.Step, Since: time.Now()}, others: map[string]rollout.Evidence{}}
		r.byKey[rule.Key()] = t
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

// Enter implements route.Rollouts.
func (r *rollouts) Enter(rule *rules.Rollout, percentile int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.trial(rule)
	if percentile >= t.state.Share(rule.SharesPercent) {
		return false
	}
	good := max(t.proven, t.total().New.Errors.Good)
	return t.gate.Enter(rollout.Pilot(r.rank), good)
}

// Stopped implements route.Rollouts.
func (r *rollouts) Stopped(rule *rules.Rollout) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.trial(rule).state.Stopped != ""
}

// leave records the end of a request that has entered the gate.
func (r *rollouts) leave(rule *rules.Rollout, answered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.trial(rule).gate.Leave(answered)
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

// driveRollouts spreads evidence and moves the roll-outs on.
func (c *control) driveRollouts(now time.Time) {
	if c.rules == nil || len(c.rules.Rollouts) == 0 || now.Before(c.nextEvidence) {
		return
	}
	live := c.node.members.Load().live
	c.nextEvidence = now.Add(evidenceInterval * time.Duration(1+len(live)/membersPerEvidence))
	c.node.rollouts.setRank(c.rank(live))
	for _, rule := range c.rules.Rollouts {
		if m, ok := c.node.rollouts.fresh(rule); ok {
			c.gossip.Put(gossip.Entry{Key: keyEvidence + rule.Key() + "/" + c.node.identity.ID, Version: m.version(), Data: mustMarshal(m)})
		}
		c.driveRollout(now, rule)
	}
}

func (r *rollouts) setRank(rank int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rank = rank
}

// rank returns how many live members come before this instance.
func (c *control) rank(live []member.Status) int {
	rank := 0
	for _, s := range live {
		if s.ID < c.node.identity.ID {
			rank++
		}
	}
	return rank
}

// driveRollout stops a roll-out at once where its evidence says so. Only the
// first live member moves it to the next step, while it sees every member.
func (c *control) driveRollout(now time.Time, rule *rules.Rollout) {
	hold := rule.Manual || c.rank(c.node.members.Load().live) != 0 || c.missesMembers()
	next, changed := c.node.rollouts.next(rule, now, hold)
	if !changed {
		return
	}
	if next.Stopped != "" {
		c.node.log.WithField("rollout", rule.Key()).WithField("why", next.Stopped).Error("roll-out stopped: its new version is bad")
		c.stateKnown(rule, next)
	}
	if !c.moving[rule.Key()] {
		c.moving[rule.Key()] = true
		go c.node.moveRollout(c.ctx, rule, next)
	}
}

// missesMembers reports whether a member of the epoch can't be seen.
func (c *control) missesMembers() bool {
	for _, m := range c.shares.Epoch().Members {
		if m.ID == c.node.identity.ID {
			continue
		}
		if s, known := c.detector.Get(m.ID); !known || s.State >= member.Suspect {
			return true
		}
	}
	return false
}

// stateKnown puts a state in force here and spreads it.
func (c *control) stateKnown(rule *rules.Rollout, s rollout.State) {
	if c.node.rollouts.adopt(rule, s) {
		c.gossip.Put(gossip.Entry{Key: keyRollout + rule.Key(), Version: s.Version(), Data: mustMarshal(s)})
	}
}

// moveRollout writes a state to the platform's table, where another instance
// may have been first.
func (n *Node) moveRollout(ctx context.Context, rule *rules.Rollout, next rollout.State) {
	callCtx, cancel := context.WithTimeout(ctx, time.Duration(n.settings.Platform.Timeout))
	defer cancel()
	state, err := n.writeRollout(callCtx, rule.Key(), next)
	n.send(ctx, rolloutMoved{rule: rule, state: state, err: err})
}

func (n *Node) writeRollout(ctx context.Context, key string, next rollout.State) (rollout.State, error) {
	current, version, err := n.readRollout(ctx, key)
	if err != nil {
		return next, err
	}
	if joined := rollout.Join(next, current); joined.Version() != next.Version() || current.Version() == next.Version() {
		return joined, nil
	}
	if version == "" {
		_, err = n.store.Insert(ctx, platform.TableRollouts, rolloutRow(key), next)
	} else {
		_, err = n.store.Replace(ctx, platform.TableRollouts, rolloutRow(key), version, next)
	}
	return next, err
}

func (n *Node) readRollout(ctx context.Context, key string) (rollout.State, string, error) {
	row, err := n.store.Get(ctx, platform.TableRollouts, rolloutRow(key))
	if errors.Is(err, platform.ErrNotFound) {
		return rollout.State{}, "", nil
	}
	if err != nil {
		return rollout.State{}, "", err
	}
	var s rollout.State
	return s, row.Version, json.Unmarshal(row.Value, &s)
}

func rolloutRow(key string) string { return strings.ReplaceAll(key, "/", "~") }

// rolloutMoved is the outcome of a write to the table.
type rolloutMoved struct {
	rule  *rules.Rollout
	state rollout.State
	err   error
}

func (e rolloutMoved) apply(c *control) {
	delete(c.moving, e.rule.Key())
	if e.err != nil {
		// The next evidence tries again; until then the share holds.
		c.node.log.WithError(e.err).WithField("rollout", e.rule.Key()).Warn("the roll-out could not be moved")
		return
	}
	c.stateKnown(e.rule, e.state)
}

// learnRollout takes a state or evidence from gossip into account.
func (c *control) learnRollout(e gossip.Entry) {
	if c.rules == nil {
		return
	}
	for _, rule := range c.rules.Rollouts {
		if e.Key == keyRollout+rule.Key() {
			var s rollout.State
			if json.Unmarshal(e.Data, &s) == nil {
				c.node.rollouts.adopt(rule, s)
			}
		}
		if instance, ok := strings.CutPrefix(e.Key, keyEvidence+rule.Key()+"/"); ok {
			var m evidenceMessage
			if json.Unmarshal(e.Data, &m) == nil {
				c.node.rollouts.learn(rule, m.Segment, instance, m.Evidence)
			}
		}
	}
}
