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
	// evidenceGossipInterval is the time between gossip about evidence in a
	// small deployment.
	evidenceGossipInterval = time.Second
	// membersPerEvidenceInterval is the number of live members by which the
	// interval grows once more by evidenceGossipInterval.
	membersPerEvidenceInterval = 20
)

// advanceRollouts gossips changed evidence and advances the roll-outs.
func (c *control) advanceRollouts(now time.Time) {
	if c.rules == nil || len(c.rules.Rollouts) == 0 || now.Before(c.nextRolloutUpdate) {
		return
	}
	live := c.node.members.Load().live
	c.nextRolloutUpdate = now.Add(evidenceGossipInterval * time.Duration(1+len(live)/membersPerEvidenceInterval))
	c.node.rollouts.setRank(c.rank(live))
	for _, rule := range c.rules.Rollouts {
		if m, ok := c.node.rollouts.takeChangedEvidence(rule); ok {
			c.gossip.Put(gossip.Entry{Key: keyEvidence + rule.StateKey() + "/" + c.node.identity.ID, Version: m.version(), Data: mustMarshal(m)})
		}
		c.advanceRollout(now, rule)
	}
}

// rank returns the number of live members whose identifiers sort before this
// instance's.
func (c *control) rank(live []member.Status) int {
	rank := 0
	for _, s := range live {
		if s.ID < c.node.identity.ID {
			rank++
		}
	}
	return rank
}

// advanceRollout stops a roll-out at once if its evidence requires it. Only the
// live member of rank 0 moves it to the next step, and only while it sees every
// member of the epoch.
func (c *control) advanceRollout(now time.Time, rule *rules.Rollout) {
	hold := rule.Manual || c.rank(c.node.members.Load().live) != 0 || c.missesEpochMember()
	next, changed := c.node.rollouts.nextState(rule, now, hold)
	if !changed {
		return
	}
	if next.Stopped != "" {
		c.node.log.WithField("rollout", rule.StateKey()).WithField("why", next.Stopped).Error("roll-out stopped by the evidence about its new version")
		c.adoptRolloutState(rule, next)
	}
	if !c.rolloutWritesInFlight[rule.StateKey()] {
		c.rolloutWritesInFlight[rule.StateKey()] = true
		go c.node.writeRolloutState(c.ctx, rule, next)
	}
}

// missesEpochMember reports whether another member of the epoch is unknown,
// suspect or gone.
func (c *control) missesEpochMember() bool {
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

// adoptRolloutState merges a state into this instance's and, if that changes
// it, gossips it.
func (c *control) adoptRolloutState(rule *rules.Rollout, s rollout.State) {
	if c.node.rollouts.mergeState(rule, s) {
		c.gossip.Put(gossip.Entry{Key: keyRollout + rule.StateKey(), Version: s.Version(), Data: mustMarshal(s)})
	}
}

// writeRolloutState writes a state to the platform's table, unless the row
// already has this state or a later one, and sends the resulting state to the
// control goroutine.
func (n *Node) writeRolloutState(ctx context.Context, rule *rules.Rollout, next rollout.State) {
	callCtx, cancel := context.WithTimeout(ctx, time.Duration(n.settings.Platform.Timeout))
	defer cancel()
	state, err := n.storeRollout(callCtx, rule.StateKey(), next)
	n.send(ctx, rolloutWrittenEvent{rule: rule, state: state, err: err})
}

// storeRollout writes next and returns it, or returns the state joined with the
// row's where another instance has written first.
func (n *Node) storeRollout(ctx context.Context, key string, next rollout.State) (rollout.State, error) {
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

// readRollout returns the state of a roll-out and the version of its row, which
// is empty if there is no row.
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

// rolloutRow returns the row key of a roll-out's state key.
func rolloutRow(key string) string { return strings.ReplaceAll(key, "/", "~") }

// rolloutWrittenEvent carries the outcome of a write to the table.
type rolloutWrittenEvent struct {
	rule  *rules.Rollout
	state rollout.State
	err   error
}

func (e rolloutWrittenEvent) apply(c *control) {
	delete(c.rolloutWritesInFlight, e.rule.StateKey())
	if e.err != nil {
		// The next evaluation retries; until then the share stays as it is.
		c.node.log.WithError(e.err).WithField("rollout", e.rule.StateKey()).Warn("could not write the state of the roll-out to the platform; it will be retried")
		return
	}
	c.adoptRolloutState(e.rule, e.state)
}

// mergeRolloutGossip merges the stored gossip about roll-outs again, since
// entries that arrived before the rules that declare the roll-outs were not
// applied.
func (c *control) mergeRolloutGossip() {
	if len(c.rules.Rollouts) == 0 {
		return
	}
	for key := range c.gossip.Digest() {
		if !strings.HasPrefix(key, keyRollout) && !strings.HasPrefix(key, keyEvidence) {
			continue
		}
		if e, ok := c.gossip.Get(key); ok {
			c.mergeRollout(e)
		}
	}
}

// mergeRollout merges a state or evidence from gossip into the roll-out that
// its key names. Without such a roll-out in the rules it does nothing.
func (c *control) mergeRollout(e gossip.Entry) {
	if c.rules == nil {
		return
	}
	for _, rule := range c.rules.Rollouts {
		if e.Key == keyRollout+rule.StateKey() {
			var s rollout.State
			if json.Unmarshal(e.Data, &s) == nil {
				c.node.rollouts.mergeState(rule, s)
			}
		}
		if instance, ok := strings.CutPrefix(e.Key, keyEvidence+rule.StateKey()+"/"); ok {
			var m evidenceMessage
			if json.Unmarshal(e.Data, &m) == nil {
				c.node.rollouts.mergeEvidence(rule, m.Segment, instance, m.Evidence)
			}
		}
	}
}
