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

// maxMembersTried is the number of other members that are tried one after
// another for slots, rules, a hand-over or the transfer of shares. If none gives
// slots, waiting tickets wait for the next tick.
const maxMembersTried = 3

// epochReadEvent carries the epoch read from the platform's table.
type epochReadEvent struct {
	epoch   slot.Epoch
	version string // of the row; empty if there is none
}

func (e epochReadEvent) apply(c *control) {
	c.adoptEpoch(e.epoch)
	c.updateEpoch()
}

// adoptEpoch acts on an epoch that is newer than the present one, and gossips
// it.
func (c *control) adoptEpoch(e slot.Epoch) {
	if !c.shares.Adopt(e, c.current.Head().Number) {
		return
	}
	c.gossip.Put(gossip.Entry{Key: keyEpoch + c.node.identity.ID, Version: e.Number})
	c.publishSnapshot()
}

// updateEpoch starts a change of the epoch in the table if this instance isn't
// in it, members have ended or limits have changed. Only one change runs at a
// time.
func (c *control) updateEpoch() {
	if c.epochChangeInFlight || c.rules == nil || c.detector.Self().State == member.Leaving {
		return
	}
	epoch := c.shares.Epoch()
	join := !epoch.HasMember(c.node.identity.ID)
	ended := false
	for _, m := range epoch.Members {
		ended = ended || c.hasEnded(m)
	}
	if !join && !ended && !c.shares.NeedsNewEpoch() {
		return
	}
	next := epoch.Next(c.current.Head().Number, c.slotMember(), c.hasEnded)
	c.epochChangeInFlight = true
	go c.node.changeEpoch(c.ctx, epoch.Number, next, join)
}

// slotMember returns this instance as a member of an epoch.
func (c *control) slotMember() slot.Member {
	i := c.node.identity
	return slot.Member{ID: i.ID, Instance: i.Instance, FailureDomain: i.FailureDomain}
}

// hasEnded reports whether a member of the epoch has certainly ended: its
// instance has been started again, or the platform no longer lists the instance
// and the member is gone or unknown.
func (c *control) hasEnded(m slot.Member) bool {
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
	return c.instancesKnown && !c.detector.IsListed(m.Instance)
}

// changeEpoch writes the next epoch if the row still has the epoch number from.
// A change other than a join waits up to a second first, since other members
// may be about to make the same change.
func (n *Node) changeEpoch(ctx context.Context, from uint64, next slot.Epoch, join bool) {
	if !join {
		sleepContext(ctx, mrand.N(time.Second))
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
		n.log.WithError(err).Debug("could not change the slot epoch")
	}
	n.send(ctx, epochChangedEvent{read: epochReadEvent{epoch: current, version: version}, err: err})
}

// epochChangedEvent reports the end of an attempt to change the epoch.
type epochChangedEvent struct {
	read epochReadEvent
	err  error
}

func (e epochChangedEvent) apply(c *control) {
	c.epochChangeInFlight = false
	if e.err == nil {
		e.read.apply(c)
	}
}

// readEpoch returns the epoch and the version of its row. Both are zero if
// there is no row.
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

// writeEpoch inserts the epoch if version is empty, and otherwise replaces the
// row of that version. It returns the new version.
func (n *Node) writeEpoch(ctx context.Context, version string, e slot.Epoch) (string, error) {
	if version == "" {
		return n.store.Insert(ctx, platform.TableSlots, epochKey, e)
	}
	return n.store.Replace(ctx, platform.TableSlots, epochKey, version, e)
}

// requestNeededSlots requests the slots that waiting tickets lack from other
// members, with at most one request for a pool at a time.
func (c *control) requestNeededSlots(now time.Time) {
	for _, need := range c.node.slots.needs(now) {
		key := need.Pool.Service + need.Pool.Target.String()
		if c.slotsRequestsInFlight[key] || !c.shares.Agreed() {
			continue
		}
		c.slotsRequestsInFlight[key] = true
		go c.node.requestSlots(c.ctx, key, need, c.shares.Epoch().Number)
	}
}

// requestSlots requests slots from members one after another until one transfers
// some.
func (n *Node) requestSlots(ctx context.Context, key string, need dispatch.Need, epoch uint64) {
	defer n.send(ctx, slotsRequestEndedEvent(key))
	for _, address := range n.members.Load().addressesWithShares(maxMembersTried) {
		callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		result, err := n.peers.RequestSlots(callCtx, address, peer.SlotsRequest{
			Epoch: epoch, Model: need.Pool.Target.Model, Version: need.Pool.Target.Version, Service: need.Pool.Service,
			Upstream: need.Upstream, Requests: need.Requests, Tokens: need.Tokens,
		})
		cancel()
		if err == nil && result.Transfer != nil {
			n.send(ctx, sharesReceivedEvent(*result.Transfer))
			return
		}
	}
}

// slotsRequestEndedEvent reports that the request for a pool's slots has ended.
type slotsRequestEndedEvent string

func (e slotsRequestEndedEvent) apply(c *control) { delete(c.slotsRequestsInFlight, string(e)) }

// sharesReceivedEvent carries a transfer from another member.
type sharesReceivedEvent slot.Transfer

func (e sharesReceivedEvent) apply(c *control) {
	t := slot.Transfer(e)
	if c.shares.TransferIn(t) {
		c.node.slots.setShare(time.Now(), t.Upstream, c.shares.Of(t.Upstream))
	}
}

// slotsRequestEvent carries another member's request for slots.
type slotsRequestEvent struct {
	message peer.SlotsRequest
	answer  chan<- peer.SlotsResult
}

func (e slotsRequestEvent) apply(c *control) {
	if e.message.Epoch != c.shares.Epoch().Number || !c.shares.Agreed() {
		e.answer <- peer.SlotsResult{}
		return
	}
	need := dispatch.Need{Pool: poolKeyOf(e.message), Upstream: e.message.Upstream, Requests: e.message.Requests, Tokens: e.message.Tokens}
	e.answer <- peer.SlotsResult{Transfer: c.node.slots.transferSpareShare(time.Now(), need, c.shares)}
}

// transferSpareShare removes the share that this instance can spare for need
// and returns its transfer, or nil if there is none.
func (s *slots) transferSpareShare(now time.Time, need dispatch.Need, shares *slot.Shares) *slot.Transfer {
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

// sharesInheritedEvent carries the shares of an instance that is shutting down.
type sharesInheritedEvent struct {
	message peer.InheritRequest
	answer  chan<- peer.Empty
}

func (e sharesInheritedEvent) apply(c *control) {
	for _, t := range e.message.Transfers {
		sharesReceivedEvent(t).apply(c)
	}
	e.answer <- peer.Empty{}
}

// releaseSharesEvent removes all shares of this instance and returns them as
// transfers.
type releaseSharesEvent struct{ answer chan<- []slot.Transfer }

func (e releaseSharesEvent) apply(c *control) {
	var transfers []slot.Transfer
	for id := range c.rules.Upstreams {
		t := slot.Transfer{ID: rand.Text(), Epoch: c.shares.Epoch().Number, Upstream: id, Share: c.shares.Of(id)}
		if t.Share != (slot.Share{}) && c.shares.TransferOut(t) {
			transfers = append(transfers, t)
		}
	}
	e.answer <- transfers
}

// leaveEpoch transfers this instance's shares to another member and removes it
// from the epoch. It must be called after the last request.
func (n *Node) leaveEpoch(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(n.settings.Platform.Timeout))
	defer cancel()
	if n.snapshot.Load() == nil {
		return
	}
	answer := make(chan []slot.Transfer, 1)
	transfers, err := sendAndWait(ctx, n, releaseSharesEvent{answer: answer}, answer)
	if err != nil {
		return
	}
	for _, address := range n.members.Load().addressesWithShares(maxMembersTried) {
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
		n.log.WithError(err).Info("could not remove this instance from the slot epoch; another instance will remove it")
	}
}
