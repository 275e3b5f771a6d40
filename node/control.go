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
	// eventBacklog bounds the events that wait for the control goroutine.
	eventBacklog = 256
	// tickInterval is the time between looks at what changes with time.
	tickInterval = 100 * time.Millisecond
)

// An event is something that the control goroutine takes into account.
type event interface{ apply(c *control) }

// control is the state of the control goroutine. Nothing else reads or writes
// it.
type control struct {
	node     *Node
	ctx      context.Context // ends with the instance
	current  revision.Current
	rules    *rules.Set
	detector *member.Detector
	gossip   gossip.Store
	shares   *slot.Shares
	levels   map[string]ramp.Level // as gossip has them
	takeOuts map[string]takeOut    // by failure domain
	listed   bool                  // the platform's list has been read
	asking   map[string]bool       // pools for which an ask is under way
	changing bool                  // a change of the epoch is under way
	fetching int64                 // number of the head that is being read; 0 for none
	nextSync time.Time
	// nextEvidence is when the roll-outs' evidence is looked at again.
	nextEvidence time.Time
	nextLearners time.Time       // when what was learnt is passed on again
	moving       map[string]bool // roll-outs whose row is being written
}

func newControl(ctx context.Context, n *Node) *control {
	c := &control{
		node:     n,
		ctx:      ctx,
		detector: member.New(n.identity, uint64(time.Now().UnixMilli()), seedOf(n.identity.ID)),
		shares:   slot.NewShares(n.identity.ID),
		levels:   map[string]ramp.Level{},
		takeOuts: map[string]takeOut{},
		asking:   map[string]bool{},
		moving:   map[string]bool{},
	}
	c.gossip.Urgent = urgent
	if seeds := n.settings.Instance.Peers; len(seeds) > 0 {
		c.detector.SetSeeds(seedsOf(seeds))
	}
	return c
}

// seedsOf returns the addresses of the settings as a list.
func seedsOf(addresses []string) []member.Seed {
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
		go c.node.probe(c.ctx, a, c.exchange(a.ID))
	}
	c.noteMembers()
	c.noteLevels()
	c.askForSlots(now)
	c.syncWithOne(now)
	c.driveRollouts(now)
	c.spreadLearners(now)
}

// send hands an event to the control goroutine.
func (n *Node) send(ctx context.Context, e event) {
	select {
	case n.events <- e:
	case <-ctx.Done():
	}
}

// ask hands an event to the control goroutine and waits for its answer.
func ask[R any](ctx context.Context, n *Node, e event, answer <-chan R) (R, error) {
	n.send(ctx, e)
	select {
	case r := <-answer:
		return r, nil
	case <-ctx.Done():
		var none R
		return none, ctx.Err()
	}
}

// publish makes the control state visible to requests.
func (c *control) publish() {
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
	c.node.sharing.Store(c.shares.HasAny())
}

// noteLevels spreads the ramp levels that have changed.
func (c *control) noteLevels() {
	levels := c.node.slots.levels()
	for id, level := range levels {
		if level != c.levels[id] {
			c.gossip.Put(gossip.Entry{Key: keyRamp + id, Version: levelVersion(level)})
		}
	}
	maps.Copy(c.levels, levels)
}
