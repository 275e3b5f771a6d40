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
	// pollJitterShare is the largest random reduction of the poll interval, as
	// a share of it, so that instances don't poll at the same moment.
	pollJitterShare = 0.2
	// epochPollInterval is the time between reads of the epoch while gossip
	// announces no newer one. The row is large in a large deployment.
	epochPollInterval = 30 * time.Second
	// earlyPollSpread is the largest random delay of an early poll, since the
	// same event makes all instances poll.
	earlyPollSpread = 300 * time.Millisecond
	// membersPerPollInterval is the number of live members above which the poll
	// interval grows in proportion, so that the platform's read rate stays
	// bounded.
	membersPerPollInterval = 40
)

// rulesReadEvent reports that a configuration was read and parsed.
type rulesReadEvent struct {
	head revision.Head
	set  *rules.Set
}

func (e rulesReadEvent) apply(c *control) {
	c.fetchingRevision = 0
	if err := c.current.Advance(e.head); err != nil {
		return
	}
	c.rules = e.set
	c.shares.SetRules(e.set)
	c.mergeRolloutGossip()
	if data, err := json.Marshal(e.head); err == nil {
		c.gossip.Put(gossip.Entry{Key: keyHead, Version: uint64(e.head.Number), Data: data})
	}
	c.gossip.Put(gossip.Entry{Key: keyInForce + c.node.identity.ID, Version: uint64(e.head.Number)})
	c.publishSnapshot()
	c.updateEpoch()
	c.node.log.WithField("revision", e.head.Number).WithField("by", e.head.AppliedBy).Info("rules in force")
}

// rulesFailedEvent reports that a configuration could not be read or parsed.
type rulesFailedEvent struct{ head revision.Head }

func (rulesFailedEvent) apply(c *control) { c.fetchingRevision = 0 }

// headReadEvent carries the configuration head read from the platform's table.
type headReadEvent struct{ head revision.Head }

func (e headReadEvent) apply(c *control) { c.startFetch(e.head) }

// startFetch starts reading a configuration that is newer than both the one in
// force and the one being read. A skipped head arrives again with the next poll
// or sync.
func (c *control) startFetch(head revision.Head) {
	if !c.current.IsNewer(head) || c.fetchingRevision >= head.Number {
		return
	}
	c.fetchingRevision = head.Number
	previousText := ""
	if c.rules != nil && c.current.Head().Number == head.Number-1 {
		previousText = c.rules.Text
	}
	go c.node.fetchRules(c.ctx, head, previousText)
}

// fetchRules obtains the rules text of a head, by applying its patch to
// previousText, or from the object store or another instance, and parses it. It
// sends the outcome to the control goroutine.
func (n *Node) fetchRules(ctx context.Context, head revision.Head, previousText string) {
	text, ok := head.PatchedText(previousText)
	if !ok {
		head, text, ok = n.readRulesText(ctx, head)
	}
	if !ok {
		n.send(ctx, rulesFailedEvent{head})
		return
	}
	set, err := rules.Parse(text)
	if err != nil {
		n.log.WithError(err).WithField("revision", head.Number).Error("this build cannot parse the applied rules; upgrade the instance")
		n.send(ctx, rulesFailedEvent{head})
		return
	}
	n.send(ctx, rulesReadEvent{head: head, set: set})
}

// readRulesText reads the rules text of a head from the object store or, if
// that fails, from another instance, which may return a newer head.
func (n *Node) readRulesText(ctx context.Context, head revision.Head) (revision.Head, string, bool) {
	callCtx, cancel := context.WithTimeout(ctx, time.Duration(n.settings.Platform.Timeout))
	defer cancel()
	text, err := platform.ReadRules(callCtx, n.store, head)
	if err == nil {
		return head, text, true
	}
	for _, address := range n.members.Load().liveAddresses(maxMembersTried) {
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

// instancesReadEvent carries the platform's list of instances.
type instancesReadEvent struct{ instances []platform.Instance }

func (e instancesReadEvent) apply(c *control) {
	seeds := make([]member.Seed, 0, len(e.instances))
	for _, i := range e.instances {
		seeds = append(seeds, member.Seed{Instance: i.ID, Address: i.Address})
	}
	c.detector.SetSeeds(seeds)
	c.instancesKnown = len(seeds) > 0
}

// runPoll polls the platform until the context ends.
func (n *Node) runPoll(ctx context.Context) {
	var epochReadEvent time.Time
	for ctx.Err() == nil {
		newer := n.epochPollDue.Swap(false)
		due := newer || !n.hasShares.Load() || time.Since(epochReadEvent) >= epochPollInterval
		if n.pollPlatform(ctx, due) && due {
			epochReadEvent = time.Now()
		}
		timer := time.NewTimer(n.pollInterval())
		select {
		case <-timer.C:
		case <-n.wakePoll:
			timer.Stop()
			sleepContext(ctx, rand.N(earlyPollSpread))
		case <-ctx.Done():
			timer.Stop()
		}
	}
}

// pollInterval returns the jittered time until the next poll. It grows with the
// number of live members.
func (n *Node) pollInterval() time.Duration {
	interval := float64(n.settings.Platform.PollInterval)
	if m := n.members.Load(); m != nil {
		interval *= max(1, float64(len(m.live))/membersPerPollInterval)
	}
	return time.Duration(interval * (1 - pollJitterShare*rand.Float64()))
}

// pollPlatform reads the list of instances, the head, the states of the
// roll-outs and, if withEpoch is set, the epoch. It reports whether the list,
// the head and the epoch could be read.
func (n *Node) pollPlatform(ctx context.Context, withEpoch bool) bool {
	callCtx, cancel := context.WithTimeout(ctx, time.Duration(n.settings.Platform.Timeout))
	defer cancel()
	instances, listErr := n.store.Instances(callCtx)
	if listErr == nil {
		n.send(ctx, instancesReadEvent{instances})
	}
	head, _, headErr := platform.ReadHead(callCtx, n.store)
	if headErr == nil {
		n.send(ctx, headReadEvent{head})
	}
	var epochErr error
	if withEpoch {
		epochErr = n.pollEpoch(ctx, callCtx)
	}
	n.pollRollouts(ctx, callCtx)
	err := errors.Join(listErr, headErr, epochErr)
	if err != nil && ctx.Err() == nil {
		n.metrics.platformErrors.Inc()
		n.log.WithError(err).Warn("could not read the platform; keeping the rules in force")
	}
	return err == nil
}

func (n *Node) pollEpoch(ctx, callCtx context.Context) error {
	epoch, version, err := n.readEpoch(callCtx)
	if err == nil {
		n.send(ctx, epochReadEvent{epoch: epoch, version: version})
	}
	return err
}

// pollRollouts reads the states of the roll-outs, so that an instance which has
// just started knows them.
func (n *Node) pollRollouts(ctx, callCtx context.Context) {
	s := n.snapshot.Load()
	if s == nil {
		return
	}
	for _, rule := range s.Rules.Rollouts {
		state, version, err := n.readRollout(callCtx, rule.StateKey())
		if err == nil && version != "" {
			n.send(ctx, rolloutReadEvent{rule: rule, state: state})
		}
	}
}

// rolloutReadEvent carries the state of a roll-out read from the platform's
// table.
type rolloutReadEvent struct {
	rule  *rules.Rollout
	state rollout.State
}

func (e rolloutReadEvent) apply(c *control) { c.adoptRolloutState(e.rule, e.state) }

// withJitter returns a random duration from d to 1.5 times d, so that instances
// which failed together don't retry together.
func withJitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return d + rand.N(d/2+1)
}

// sleepContext sleeps for d or until the context ends.
func sleepContext(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
