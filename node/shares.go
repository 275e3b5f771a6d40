package node

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	mrand "math/rand/v2"
	"time"

	"banyanyard/core/dispatch"
	"banyanyard/core/gossip"
	"banyanyard/core/member"
	"banyanyard/core/slot"
	"banyanyard/io/peer"
	"banyanyard/io/platform"
)

// epochKey is the key of the one row of platform.TableSlots.
const epochKey = "epoch"

// asksPerNeed is how many members are asked for slots before the waiting
// tickets have to wait for the next tick.
const asksPerNeed = 3

// epochRead is the epoch in the platform's table.
type epochRead struct {
	epoch   slot.Epoch
	version string // of the row; empty when there is none
}

func (e epochRead) apply(c *control) {
	c.seen(e.epoch)
	c.keepEpoch()
}

// seen adopts an epoch that is newer than the one acted on.
func (c *control) seen(e slot.Epoch) {
	if !c.shares.Adopt(e, c.current.Head().Number) {
		return
	}
	c.gossip.Put(gossip.Entry{Key: keyEpoch + c.node.identity.ID, Version: e.Number})
	c.publish()
}

// keepEpoch changes the epoch in the table when this instance isn't in it, when
// members have ended, or when limits have changed.
func (c *control) keepEpoch() {
	if c.changing || c.rules == nil || c.detector.Self().State == member.Leaving {
		return
	}
	epoch := c.shares.Epoch()
	join := !epoch.HasMember(c.node.identity.ID)
	ended := false
	for _, m := range epoch.Members {
		ended = ended || c.ended(m)
	}
	if !join && !ended && !c.shares.NeedsNewEpoch() {
		return
	}
	next := epoch.Next(c.current.Head().Number, c.asMember(), c.ended)
	c.changing = true
	go c.node.changeEpoch(c.ctx, epoch.Number, next, join)
}

func (c *control) asMember() slot.Member {
	i := c.node.identity
	return slot.Member{ID: i.ID, Instance: i.Instance, FailureDomain: i.FailureDomain}
}

// ended reports whether a member of the epoch has surely ended: its instance
// runs another start, or the platform no longer has the instance and nothing
// answers there.
func (c *control) ended(m slot.Member) bool {
	self := c.node.identity
	if m.ID == self.ID {
		return false
	}
	if m.Instance == self.Instance {
		return true
	}
	s, known := c.detector.Get(m.ID)
	if known && s.State < member.Gone {
		return false
	}
	for _, other := range c.detector.Members() {
		if other.Instance == m.Instance && other.State < member.Suspect {
			return true
		}
	}
	return c.listed && !c.detector.IsListed(m.Instance)
}

// changeEpoch writes the next epoch where the row still has the one that it
// follows. Changes that others may make as well wait for a random moment first.
func (n *Node) changeEpoch(ctx context.Context, from uint64, next slot.Epoch, join bool) {
	if !join {
		pause(ctx, mrand.N(time.Second))
	}
	callCtx, cancel := context.WithTimeout(ctx, time.Duration(n.settings.Platform.Timeout))
	defer cancel()
	current, version, err := n.readEpoch(callCtx)
	if err == nil && current.Number == from {
		version, err = n.writeEpoch(callCtx, version, next)
	}
	if err == nil && current.Number == from {
		current = next
	}
	if err != nil {
		n.log.WithError(err).Debug("the epoch could not be changed")
	}
	n.send(ctx, epochChanged{read: epochRead{epoch: current, version: version}, err: err})
}

// epochChanged says that an attempt to change the epoch has ended.
type epochChanged struct {
	read epochRead
	err  error
}

func (e epochChanged) apply(c *control) {
	c.changing = false
	if e.err == nil {
		e.read.apply(c)
	}
}

func (n *Node) readEpoch(ctx context.Context) (slot.Epoch, string, error) {
	row, err := n.store.Get(ctx, platform.TableSlots, epochKey)
	if errors.Is(err, platform.ErrNotFound) {
		return slot.Epoch{}, "", nil
	}
	if err != nil {
		return slot.Epoch{}, "", err
	}
	var e slot.Epoch
	return e, row.Version, json.Unmarshal(row.Value, &e)
}

func (n *Node) writeEpoch(ctx context.Context, version string, e slot.Epoch) (string, error) {
	if version == "" {
		return n.store.Insert(ctx, platform.TableSlots, epochKey, e)
	}
	return n.store.Replace(ctx, platform.TableSlots, epochKey, version, e)
}

// askForSlots asks other members for what waiting tickets lack.
func (c *control) askForSlots(now time.Time) {
	for _, need := range c.node.slots.needs(now) {
		key := need.Pool.Service + need.Pool.Target.String()
		if c.asking[key] || !c.shares.Agreed() {
			continue
		}
		c.asking[key] = true
		go c.node.askMembers(c.ctx, key, need, c.shares.Epoch().Number)
	}
}

func (n *Node) askMembers(ctx context.Context, key string, need dispatch.Need, epoch uint64) {
	defer n.send(ctx, askEnded(key))
	for _, address := range n.members.Load().sharers(asksPerNeed) {
		callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		result, err := n.peers.RequestSlots(callCtx, address, peer.SlotsRequest{
			Epoch: epoch, Model: need.Pool.Target.Model, Version: need.Pool.Target.Version, Service: need.Pool.Service,
			Upstream: need.Upstream, Requests: need.Requests, Tokens: need.Tokens,
		})
		cancel()
		if err == nil && result.Transfer != nil {
			n.send(ctx, slotsGiven(*result.Transfer))
			return
		}
	}
}

type askEnded string

func (e askEnded) apply(c *control) { delete(c.asking, string(e)) }

// slotsGiven is a transfer from another member.
type slotsGiven slot.Transfer

func (e slotsGiven) apply(c *control) {
	t := slot.Transfer(e)
	if c.shares.TransferIn(t) {
		c.node.slots.setShare(time.Now(), t.Upstream, c.shares.Of(t.Upstream))
	}
}

// slotsAsked is another member's need.
type slotsAsked struct {
	message peer.SlotsRequest
	answer  chan<- peer.SlotsResult
}

func (e slotsAsked) apply(c *control) {
	if e.message.Epoch != c.shares.Epoch().Number || !c.shares.Agreed() {
		e.answer <- peer.SlotsResult{}
		return
	}
	need := dispatch.Need{Pool: poolOf(e.message), Upstream: e.message.Upstream, Requests: e.message.Requests, Tokens: e.message.Tokens}
	e.answer <- peer.SlotsResult{Transfer: c.node.slots.lend(time.Now(), need, c.shares)}
}

// lend takes what can be spared away from this instance's shares.
func (s *slots) lend(now time.Time, need dispatch.Need, shares *slot.Shares) *slot.Transfer {
	s.mu.Lock()
	defer s.mu.Unlock()
	upstream, part := s.dispatcher.SpareShare(now, need)
	if upstream == "" || part.Requests == 0 {
		return nil
	}
	t := slot.Transfer{ID: rand.Text(), Epoch: shares.Epoch().Number, Upstream: upstream, Share: part}
	if !shares.TransferOut(t) {
		return nil
	}
	s.dispatcher.SetShare(now, upstream, shares.Of(upstream))
	return &t
}

// slotsInherited is what an instance that leaves passes on.
type slotsInherited struct {
	message peer.InheritRequest
	answer  chan<- peer.Empty
}

func (e slotsInherited) apply(c *control) {
	for _, t := range e.message.Transfers {
		slotsGiven(t).apply(c)
	}
	e.answer <- peer.Empty{}
}

// sharesLeft asks for everything that this instance still holds, to pass it on.
type sharesLeft struct{ answer chan<- []slot.Transfer }

func (e sharesLeft) apply(c *control) {
	var transfers []slot.Transfer
	for id := range c.rules.Upstreams {
		t := slot.Transfer{ID: rand.Text(), Epoch: c.shares.Epoch().Number, Upstream: id, Share: c.shares.Of(id)}
		if t.Share != (slot.Share{}) && c.shares.TransferOut(t) {
			transfers = append(transfers, t)
		}
	}
	e.answer <- transfers
}

// leaveEpoch passes this instance's shares on and takes it out of the epoch,
// after its last request.
func (n *Node) leaveEpoch(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(n.settings.Platform.Timeout))
	defer cancel()
	if n.snapshot.Load() == nil {
		return
	}
	answer := make(chan []slot.Transfer, 1)
	transfers, err := ask(ctx, n, sharesLeft{answer: answer}, answer)
	if err != nil {
		return
	}
	for _, address := range n.members.Load().sharers(asksPerNeed) {
		if n.peers.InheritSlots(ctx, address, peer.InheritRequest{Transfers: transfers}) == nil {
			break
		}
	}
	current, version, err := n.readEpoch(ctx)
	if err != nil || !current.HasMember(n.identity.ID) {
		return
	}
	next := current.Next(0, slot.Member{}, func(m slot.Member) bool { return m.ID == n.identity.ID })
	if _, err := n.writeEpoch(ctx, version, next); err != nil {
		n.log.WithError(err).Info("the epoch still has this instance; another will take it out")
	}
}
