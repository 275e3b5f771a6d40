package node

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"banyanyard/core/gossip"
	"banyanyard/core/member"
	"banyanyard/core/rollout"
	"banyanyard/core/rules"
	"banyanyard/io/platform"
)

const (
	// evidenceInterval is the time between messages about evidence in a small
	// deployment; it grows with the members.
	evidenceInterval = time.Second
	// membersPerEvidence is the number of members from which on it grows.
	membersPerEvidence = 20
)

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
			c.gossip.Put(gossip.Entry{Key: keyEvidence + rule.StateKey() + "/" + c.node.identity.ID, Version: m.version(), Data: mustMarshal(m)})
		}
		c.driveRollout(now, rule)
	}
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
		c.node.log.WithField("rollout", rule.StateKey()).WithField("why", next.Stopped).Error("roll-out stopped: its new version is bad")
		c.stateKnown(rule, next)
	}
	if !c.moving[rule.StateKey()] {
		c.moving[rule.StateKey()] = true
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
		c.gossip.Put(gossip.Entry{Key: keyRollout + rule.StateKey(), Version: s.Version(), Data: mustMarshal(s)})
	}
}

// moveRollout writes a state to the platform's table, where another instance
// may have been first.
func (n *Node) moveRollout(ctx context.Context, rule *rules.Rollout, next rollout.State) {
	callCtx, cancel := context.WithTimeout(ctx, time.Duration(n.settings.Platform.Timeout))
	defer cancel()
	state, err := n.writeRollout(callCtx, rule.StateKey(), next)
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
	delete(c.moving, e.rule.StateKey())
	if e.err != nil {
		// The next evidence tries again; until then the share holds.
		c.node.log.WithError(e.err).WithField("rollout", e.rule.StateKey()).Warn("the roll-out could not be moved")
		return
	}
	c.stateKnown(e.rule, e.state)
}

// recallRollouts takes everything about roll-outs into account that gossip
// brought before the rules that declare them.
func (c *control) recallRollouts() {
	if len(c.rules.Rollouts) == 0 {
		return
	}
	for key := range c.gossip.Digest() {
		if !strings.HasPrefix(key, keyRollout) && !strings.HasPrefix(key, keyEvidence) {
			continue
		}
		if e, ok := c.gossip.Get(key); ok {
			c.learnRollout(e)
		}
	}
}

// learnRollout takes a state or evidence from gossip into account.
func (c *control) learnRollout(e gossip.Entry) {
	if c.rules == nil {
		return
	}
	for _, rule := range c.rules.Rollouts {
		if e.Key == keyRollout+rule.StateKey() {
			var s rollout.State
			if json.Unmarshal(e.Data, &s) == nil {
				c.node.rollouts.adopt(rule, s)
			}
		}
		if instance, ok := strings.CutPrefix(e.Key, keyEvidence+rule.StateKey()+"/"); ok {
			var m evidenceMessage
			if json.Unmarshal(e.Data, &m) == nil {
				c.node.rollouts.learn(rule, m.Segment, instance, m.Evidence)
			}
		}
	}
}
