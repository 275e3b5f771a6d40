package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"banyanyard/core/revision"
	"banyanyard/core/rules"
	"banyanyard/io/platform"
)

const (
	// eventBacklog bounds the events that wait for the control goroutine.
	eventBacklog = 256
	// tickInterval is the time between looks at what changes with time.
	tickInterval = 100 * time.Millisecond
	// pollJitter is the share of the poll interval that varies at random, so
	// that instances don't ask at the same moment.
	pollJitter = 0.2
)

// An event is something that the control goroutine takes into account.
type event interface{ apply(c *control) }

// control is the state of the control goroutine.
type control struct {
	node      *Node
	current   revision.Current
	rules     *rules.Set
	instances []platform.Instance
}

// run applies events until the context ends.
func (c *control) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case e := <-c.node.events:
			e.apply(c)
		case now := <-ticker.C:
			c.node.slots.tick(now)
		case <-ctx.Done():
			return
		}
	}
}

// send hands an event to the control goroutine.
func (n *Node) send(ctx context.Context, e event) {
	select {
	case n.events <- e:
	case <-ctx.Done():
	}
}

// rulesRead says that a configuration was read and found valid.
type rulesRead struct {
	head revision.Head
	set  *rules.Set
}

func (e rulesRead) apply(c *control) {
	if err := c.current.Take(e.head); err != nil {
		return
	}
	c.rules = e.set
	c.publish()
	c.node.log.WithField("revision", e.head.Number).WithField("by", e.head.By).Info("rules in force")
}

// instancesRead is a new list of instances.
type instancesRead struct{ instances []platform.Instance }

func (e instancesRead) apply(c *control) {
	c.instances = e.instances
	c.publish()
}

// publish makes the control state visible to requests.
func (c *control) publish() {
	if c.rules == nil {
		return
	}
	c.node.snapshot.Store(&Snapshot{Head: c.current.Head(), Rules: c.rules, Instances: c.instances})
	c.node.metrics.revision.Set(float64(c.current.Head().Number))
	c.node.slots.update(time.Now(), c.rules, c.members())
}

// members returns the instances among which upstream limits are dealt.
func (c *control) members() []string {
	ids := []string{c.node.id}
	for _, i := range c.instances {
		if i.ID != c.node.id {
			ids = append(ids, i.ID)
		}
	}
	return ids
}

// poll looks at the platform until the context ends.
func (n *Node) poll(ctx context.Context) {
	interval := float64(n.settings.Platform.PollInterval)
	for ctx.Err() == nil {
		n.pollOnce(ctx)
		pause(ctx, time.Duration(interval*(1-pollJitter*rand.Float64())))
	}
}

func (n *Node) pollOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(n.settings.Platform.Timeout))
	defer cancel()
	if instances, err := n.store.Instances(ctx); err == nil {
		n.send(ctx, instancesRead{instances})
	}
	if err := n.pollRules(ctx); err != nil && !errors.Is(err, context.Canceled) {
		n.metrics.platformErrors.Inc()
		n.log.WithError(err).Warn("the rules could not be read from the platform")
	}
}

// pollRules reads the configuration when the table has a newer one.
func (n *Node) pollRules(ctx context.Context) error {
	head, _, err := platform.ReadHead(ctx, n.store)
	if err != nil {
		return err
	}
	if _, have := n.Rules(); head.Number <= have {
		return nil
	}
	text, err := platform.ReadRules(ctx, n.store, head)
	if err != nil {
		return err
	}
	set, err := rules.Parse(text)
	if err != nil {
		return err
	}
	n.send(ctx, rulesRead{head: head, set: set})
	return nil
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
