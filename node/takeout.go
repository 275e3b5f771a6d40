package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"banyanyard/core/gossip"
	"banyanyard/io/operator"
)

// A takeOut is an operator's order to one instance that a failure domain gets
// no new work. It only takes away, and so spreads by gossip without the
// platform. It ends with the next configuration.
type takeOut struct {
	By       string    `json:"by"`
	At       time.Time `json:"at"`
	Revision int64     `json:"revision"` // in force when it was given
	Undo     bool      `json:"undo"`
}

// TakeOut implements operator.Instance.
func (n *Node) TakeOut(ctx context.Context, t operator.TakeOut) error {
	set, revision := n.Rules()
	if set == nil {
		return errors.New("this instance has no rules: ask another")
	}
	if set.FailureDomains[t.FailureDomain] == nil {
		return fmt.Errorf("failure domain %q is not in the rules: see rules show for their names", t.FailureDomain)
	}
	if t.By == "" {
		return errors.New("the order names nobody: say who asks for it")
	}
	n.log.WithField("failure-domain", t.FailureDomain).WithField("by", t.By).WithField("undo", t.Undo).Warn("taken out beside the rules")
	done := make(chan struct{}, 1)
	order := takeOut{By: t.By, At: time.Now().UTC(), Revision: revision, Undo: t.Undo}
	_, err := sendAndWait(ctx, n, takeOutEvent{domain: t.FailureDomain, order: order, done: done}, done)
	return err
}

// takeOutEvent is an order to this instance.
type takeOutEvent struct {
	domain string
	order  takeOut
	done   chan<- struct{}
}

func (e takeOutEvent) apply(c *control) {
	c.gossip.Put(gossip.Entry{Key: keyTakeOut + e.domain, Version: uint64(e.order.At.UnixMilli()), Data: mustMarshal(e.order)})
	c.takeOuts[e.domain] = e.order
	c.publishSnapshot()
	e.done <- struct{}{}
}

func (c *control) mergeTakeOut(e gossip.Entry) {
	var order takeOut
	if json.Unmarshal(e.Data, &order) == nil {
		c.takeOuts[strings.TrimPrefix(e.Key, keyTakeOut)] = order
		c.publishSnapshot()
	}
}

// takenOut reports whether a failure domain is taken out beside the rules.
func (c *control) takenOut(domain string) bool {
	order, ok := c.takeOuts[domain]
	return ok && !order.Undo && c.current.Head().Number <= order.Revision
}
