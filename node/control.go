package node

import (
	"context"
	"maps"
	"time"

	"banyanyard/core/gossip"
	"banyanyard/core/member"
	"banyanyard/core/ramp"
	"banyanyard/core/revision"
	"banyanyard/core/rules"
	"banyanyard/core/slot"
)

const (
	// eventQueueLength is the capacity of the queue of the control goroutine.
	eventQueueLength = 256
	// tickInterval is the time between runs of the control goroutine's periodic
	// work.
	tickInterval = 100 * time.Millisecond
)

// An event changes the control state. The control goroutine calls apply.
type event interface{ apply(c *control) }

// control is the state of the control goroutine. No other goroutine reads or
// writes it.
type control struct {
	node                  *Node
	ctx                   context.Context // ends with the instance
	current               revision.Current
	rules                 *rules.Set
	detector              *member.Detector
	gossip                gossip.Store
	shares                *slot.Shares
	rampLevels            map[string]ramp.Level // by upstream, as last gossiped
	takeOuts              map[string]takeOut    // by failure domain
	instancesKnown        bool                  // the platform's list of instances was read and is not empty
	slotsRequestsInFlight map[string]bool       // pools for which a request to other members is running
	epochChangeInFlight   bool                  // a change of the epoch is being written
	fetchingRevision      int64                 // revision that is being read; 0 means none
	nextSync              time.Time
	// nextRolloutUpdate is when the evidence of the roll-outs is gossiped and
	// evaluated again.
	nextRolloutUpdate     time.Time
	nextLearnerGossip     time.Time       // when changed learners are gossiped again
	rolloutWritesInFlight map[string]bool // roll-outs whose row is being written, by state key
}

func newControl(ctx context.Context, n *Node) *control {
	c := &control{
		node:                  n,
		ctx:                   ctx,
		detector:              member.New(n.identity, uint64(time.Now().UnixMilli()), hash64(n.identity.ID)),
		shares:                slot.NewShares(n.identity.ID),
		rampLevels:            map[string]ramp.Level{},
		takeOuts:              map[string]takeOut{},
		slotsRequestsInFlight: map[string]bool{},
		rolloutWritesInFlight: map[string]bool{},
	}
	c.gossip.Urgent = isUrgent
	if seeds := n.settings.Instance.Peers; len(seeds) > 0 {
		c.detector.SetSeeds(seedsFromAddresses(seeds))
	}
	return c
}

// seedsFromAddresses returns seeds for addresses from the settings, which name
// no instances.
func seedsFromAddresses(addresses []string) []member.Seed {
	seeds := make([]member.Seed, 0, len(addresses))
	for _, a := range addresses {
		seeds = append(seeds, member.Seed{Address: a})
	}
	return seeds
}

// run applies events and does the periodic work until the context ends.
func (c *control) run() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case e := <-c.node.events:
			e.apply(c)
		case now := <-ticker.C:
			c.tick(now)
		case <-c.ctx.Done():
			return
		}
	}
}

func (c *control) tick(now time.Time) {
	c.node.slots.tick(now)
	for _, a := range c.detector.Tick(now) {
		go c.node.probe(c.ctx, a, c.newExchange(a.ID))
	}
	c.publishMemberChanges()
	c.gossipRampLevels()
	c.requestNeededSlots(now)
	c.syncWithRandomMember(now)
	c.advanceRollouts(now)
	c.gossipLearners(now)
}

// send queues an event for the control goroutine. It drops the event when the
// context ends.
func (n *Node) send(ctx context.Context, e event) {
	select {
	case n.events <- e:
	case <-ctx.Done():
	}
}

// sendAndWait sends an event to the control goroutine and waits for a value on
// answer or for the end of the context.
func sendAndWait[R any](ctx context.Context, n *Node, e event, answer <-chan R) (R, error) {
	n.send(ctx, e)
	select {
	case r := <-answer:
		return r, nil
	case <-ctx.Done():
		var none R
		return none, ctx.Err()
	}
}

// publishSnapshot stores a new Snapshot for requests and updates the slots from
// the rules and shares. It does nothing before the first rules.
func (c *control) publishSnapshot() {
	if c.rules == nil {
		return
	}
	rules := c.rules
	if len(c.takeOuts) > 0 {
		rules = rules.WithDomainsOutOfService(c.takenOut)
	}
	c.node.snapshot.Store(&Snapshot{Head: c.current.Head(), Rules: rules})
	c.node.metrics.revision.Set(float64(c.current.Head().Number))
	c.node.slots.update(time.Now(), rules, c.shares)
	c.node.hasShares.Store(c.shares.HasAny())
}

// gossipRampLevels gossips the ramp levels that have changed.
func (c *control) gossipRampLevels() {
	levels := c.node.slots.rampLevels()
	for id, level := range levels {
		if level != c.rampLevels[id] {
			c.gossip.Put(gossip.Entry{Key: keyRamp + id, Version: rampLevelVersion(level)})
		}
	}
	maps.Copy(c.rampLevels, levels)
}
