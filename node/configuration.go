package node

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"banyanyard/core/gossip"
	"banyanyard/core/member"
	"banyanyard/core/revision"
	"banyanyard/core/rollout"
	"banyanyard/core/rules"
	"banyanyard/io/peer"
	"banyanyard/io/platform"
)

const (
	// pollJitter is the share of the poll interval that varies at random, so
	// that instances don't ask at the same moment.
	pollJitter = 0.2
	// epochInterval is the time between looks at the epoch when gossip tells of
	// no newer one. Its row is large in a large deployment.
	epochInterval = 30 * time.Second
	// pollSpread is the time over which instances spread a look that they all
	// have a reason for.
	pollSpread = 300 * time.Millisecond
	// membersPerInterval is the number of members from which on the poll
	// interval grows, so that the platform's reads stay bounded.
	membersPerInterval = 40
)

// rulesRead says that a configuration was read and found valid.
type rulesRead struct {
	head revision.Head
	set  *rules.Set
}

func (e rulesRead) apply(c *control) {
	c.fetching = 0
	if err := c.current.Advance(e.head); err != nil {
		return
	}
	c.rules = e.set
	c.shares.SetRules(e.set)
	c.recallRollouts()
	if data, err := json.Marshal(e.head); err == nil {
		c.gossip.Put(gossip.Entry{Key: keyHead, Version: uint64(e.head.Number), Data: data})
	}
	c.gossip.Put(gossip.Entry{Key: keyForce + c.node.identity.ID, Version: uint64(e.head.Number)})
	c.publish()
	c.keepEpoch()
	c.node.log.WithField("revision", e.head.Number).WithField("by", e.head.AppliedBy).Info("rules in force")
}

// rulesFailed says that a configuration could not be read.
type rulesFailed struct{ head revision.Head }

func (rulesFailed) apply(c *control) { c.fetching = 0 }

// headRead is the head in the platform's table.
type headRead struct{ head revision.Head }

func (e headRead) apply(c *control) { c.fetch(e.head) }

// fetch reads a configuration that is newer than the one in force, one at a
// time. A head that is passed over comes again with the next poll or sync.
func (c *control) fetch(head revision.Head) {
	if !c.current.IsNewer(head) || c.fetching >= head.Number {
		return
	}
	c.fetching = head.Number
	before := ""
	if c.rules != nil && c.current.Head().Number == head.Number-1 {
		before = c.rules.Text
	}
	go c.node.fetchRules(c.ctx, head, before)
}

// fetchRules reads the text of a head: by its patch, from the object store, or
// from another instance.
func (n *Node) fetchRules(ctx context.Context, head revision.Head, before string) {
	text, ok := head.PatchedText(before)
	if !ok {
		head, text, ok = n.readText(ctx, head)
	}
	if !ok {
		n.send(ctx, rulesFailed{head})
		return
	}
	set, err := rules.Parse(text)
	if err != nil {
		n.log.WithError(err).WithField("revision", head.Number).Error("the accepted rules are not valid for this build; upgrade the instance")
		n.send(ctx, rulesFailed{head})
		return
	}
	n.send(ctx, rulesRead{head: head, set: set})
}

func (n *Node) readText(ctx context.Context, head revision.Head) (revision.Head, string, bool) {
	callCtx, cancel := context.WithTimeout(ctx, time.Duration(n.settings.Platform.Timeout))
	defer cancel()
	text, err := platform.ReadRules(callCtx, n.store, head)
	if err == nil {
		return head, text, true
	}
	for _, address := range n.members.Load().addresses(asksPerNeed) {
		callCtx, cancel := context.WithTimeout(ctx, 4*peerTimeout)
		result, err := n.peers.FetchRules(callCtx, address, peer.RulesRequest{NewerThan: head.Number - 1})
		cancel()
		if err == nil && result.Head.Number >= head.Number && revision.ObjectKey(result.Text) == result.Head.ObjectKey {
			return result.Head, result.Text, true
		}
	}
	return head, "", false
}

// FetchRules implements peer.Handler.
func (p peerHandler) FetchRules(_ context.Context, q peer.RulesRequest) (peer.RulesResult, error) {
	s := p.snapshot.Load()
	if s == nil || s.Head.Number <= q.NewerThan {
		return peer.RulesResult{}, nil
	}
	return peer.RulesResult{Head: s.Head, Text: s.Rules.Text}, nil
}

// instancesRead is a new list of instances.
type instancesRead struct{ instances []platform.Instance }

func (e instancesRead) apply(c *control) {
	seeds := make([]member.Seed, 0, len(e.instances))
	for _, i := range e.instances {
		seeds = append(seeds, member.Seed{Instance: i.ID, Address: i.Address})
	}
	c.detector.SetSeeds(seeds)
	c.listed = len(seeds) > 0
}

// poll looks at the platform until the context ends.
func (n *Node) poll(ctx context.Context) {
	var epochRead time.Time
	for ctx.Err() == nil {
		newer := n.epochNewer.Swap(false)
		due := newer || !n.sharing.Load() || time.Since(epochRead) >= epochInterval
		if n.pollOnce(ctx, due) && due {
			epochRead = time.Now()
		}
		timer := time.NewTimer(n.pollInterval())
		select {
		case <-timer.C:
		case <-n.pollNow:
			timer.Stop()
			pause(ctx, rand.N(pollSpread))
		case <-ctx.Done():
			timer.Stop()
		}
	}
}

// pollInterval grows with the deployment.
func (n *Node) pollInterval() time.Duration {
	interval := float64(n.settings.Platform.PollInterval)
	if m := n.members.Load(); m != nil {
		interval *= max(1, float64(len(m.live))/membersPerInterval)
	}
	return time.Duration(interval * (1 - pollJitter*rand.Float64()))
}

// pollOnce reads the list and the head, and the epoch where it is due. It
// reports whether all could be read.
func (n *Node) pollOnce(ctx context.Context, withEpoch bool) bool {
	callCtx, cancel := context.WithTimeout(ctx, time.Duration(n.settings.Platform.Timeout))
	defer cancel()
	instances, listErr := n.store.Instances(callCtx)
	if listErr == nil {
		n.send(ctx, instancesRead{instances})
	}
	head, _, headErr := platform.ReadHead(callCtx, n.store)
	if headErr == nil {
		n.send(ctx, headRead{head})
	}
	var epochErr error
	if withEpoch {
		epochErr = n.pollEpoch(ctx, callCtx)
	}
	n.pollRollouts(ctx, callCtx)
	err := errors.Join(listErr, headErr, epochErr)
	if err != nil && ctx.Err() == nil {
		n.metrics.platformErrors.Inc()
		n.log.WithError(err).Warn("the platform could not be read; the rules in force stay")
	}
	return err == nil
}

func (n *Node) pollEpoch(ctx, callCtx context.Context) error {
	epoch, version, err := n.readEpoch(callCtx)
	if err == nil {
		n.send(ctx, epochRead{epoch: epoch, version: version})
	}
	return err
}

// pollRollouts reads the states of the roll-outs, so that an instance that
// starts takes them up.
func (n *Node) pollRollouts(ctx, callCtx context.Context) {
	s := n.snapshot.Load()
	if s == nil {
		return
	}
	for _, rule := range s.Rules.Rollouts {
		state, version, err := n.readRollout(callCtx, rule.StateKey())
		if err == nil && version != "" {
			n.send(ctx, rolloutRead{rule: rule, state: state})
		}
	}
}

// rolloutRead is the state of a roll-out in the platform's table.
type rolloutRead struct {
	rule  *rules.Rollout
	state rollout.State
}

func (e rolloutRead) apply(c *control) { c.stateKnown(e.rule, e.state) }

// jittered returns up to half more than d, so that instances which failed
// together don't try again together.
func jittered(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return d + rand.N(d/2+1)
}

// pause waits for d or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
