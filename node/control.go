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
	// eventQueueLength bounds the events that wait for the control goroutine.
	eventQueueLength = 256
	// tickInterval is the time between looks at what changes with time.
	tickInterval = 100 * time.Millisecond
)

// An event is something that the control goroutine takes into account.
type event interface{ apply(c *control) }

// control is the state of the control goroutine. Nothing else reads or writes
// it.
type control struct {
	node                *Node
	ctx                 context.Context // ends with the instance
	current             revision.Current
	rules               *rules.Set
	detector            *member.Detector
	gossip              gossip.Store
	shares              *slot.Shares
	rampLevels          map[string]ramp.Level // as gossip has them
	takeOuts            map[string]takeOut    // by failure domain
	instancesKnown      bool                  // the platform's list has been read
	asksInFlight        map[string]bool       // pools for which an ask is under way
	epochChangeInFlight bool                  // a change of the epoch is under way
	fetchingRevision    int64                 // number of the head that is being read; 0 for none
	nextSync            time.Time
	// nextRolloutUpdate is when the roll-outs' evidence is looked at again.
	nextRolloutUpdate     time.Time
	nextLearnerGossip     time.Time       // when what was learnt is passed on again
	rolloutWritesInFlight map[string]bool // roll-outs whose row is being written
}

func newControl(ctx context.Context, n *Node) *control {
	c := &control{
		node:                  n,
		ctx:                   ctx,
		detector:              member.New(n.identity, uint64(time.Now().UnixMilli()), hash64(n.identity.ID)),
		shares:                slot.NewShares(n.identity.ID),
		rampLevels:            map[string]ramp.Level{},
		takeOuts:              map[string]takeOut{},
		asksInFlight:          map[string]bool{},
		rolloutWritesInFlight: map[string]bool{},
	}
	c.gossip.Urgent = isUrgent
	if seeds := n.settings.Instance.Peers; len(seeds) > 0 {
		c.detector.SetSeeds(seedsFromAddresses(seeds))
	}
	return c
}

// seedsFromAddresses returns the addresses of the settings as a list.
func seedsFromAddresses(addresses []string) []member.Seed {
	seeds := make([]member.Seed, 0, len(addresses))
	for _, a := range addresses {
		seeds = append(seeds, member.Seed{Address: a})
	}
	return seeds
}

// run applies events until the context ends.
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
	c.askForSlots(now)
	c.syncWithRandomMember(now)
	c.advanceRollouts(now)
	c.gossipLearners(now)
}

// send hands an event to the control goroutine.
func (n *Node) send(ctx context.Context, e event) {
	select {
	case n.events <- e:
	case <-ctx.Done():
	}
}

// sendAndWait hands an event to the control goroutine and waits for its answer.
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

// publishSnapshot makes the control state visible to requests.
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

// gossipRampLevels spreads the ramp levels that have changed.
func (c *control) gossipRampLevels() {
	levels := c.node.slots.rampLevels()
	for id, level := range levels {
		if level != c.rampLevels[id] {
			c.gossip.Put(gossip.Entry{Key: keyRamp + id, Version: rampLevelVersion(level)})
		}
	}
	maps.Copy(c.rampLevels, levels)
}
