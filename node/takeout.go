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

// A takeOut is an operator's order, given to one instance, to send a failure
// domain no new work, or to undo such an order. Since it can only stop work
// that the rules allow, it spreads by gossip without the platform. It ends with
// the next configuration.
type takeOut struct {
	By       string    `json:"by"`
	At       time.Time `json:"at"`
	Revision int64     `json:"revision"` // in force when the order was given
	Undo     bool      `json:"undo"`
}

// TakeOut implements operator.Instance.
func (n *Node) TakeOut(ctx context.Context, t operator.TakeOut) error {
	set, revision := n.Rules()
	if set == nil {
		return errors.New("this instance has no rules yet; send the order to another instance")
	}
	if set.FailureDomains[t.FailureDomain] == nil {
		return fmt.Errorf("failure domain %q is not in the rules; run banyanyard rules show to see which there are", t.FailureDomain)
	}
	if t.By == "" {
		return errors.New("the take-out order does not say who gives it; set its field by")
	}
	n.log.WithField("failure-domain", t.FailureDomain).WithField("by", t.By).WithField("undo", t.Undo).Warn("applying an operator's take-out order")
	done := make(chan struct{}, 1)
	order := takeOut{By: t.By, At: time.Now().UTC(), Revision: revision, Undo: t.Undo}
	_, err := sendAndWait(ctx, n, takeOutEvent{domain: t.FailureDomain, order: order, done: done}, done)
	return err
}

// takeOutEvent carries an operator's order to this instance.
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

// mergeTakeOut applies a take-out order from gossip.
func (c *control) mergeTakeOut(e gossip.Entry) {
	var order takeOut
	if json.Unmarshal(e.Data, &order) == nil {
		c.takeOuts[strings.TrimPrefix(e.Key, keyTakeOut)] = order
		c.publishSnapshot()
	}
}

// takenOut reports whether an operator's order takes a failure domain out under
// the configuration in force.
func (c *control) takenOut(domain string) bool {
	order, ok := c.takeOuts[domain]
	return ok && !order.Undo && c.current.Head().Number <= order.Revision
}
