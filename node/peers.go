package node

import (
	"context"
	"hash/fnv"
	"time"

	"banyanyard/core/dispatch"
	"banyanyard/core/gossip"
	"banyanyard/core/member"
	"banyanyard/core/rules"
	"banyanyard/io/peer"
)

// hash64 returns the FNV-1a hash of an identifier.
func hash64(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}

// A peerHandler serves the calls of other instances. It implements
// peer.Handler.
type peerHandler struct{ *Node }

// probe sends a direct probe, or an indirect one through each member of a.Via,
// and sends the outcome to the control goroutine.
func (n *Node) probe(ctx context.Context, a member.Probe, e peer.Exchange) {
	callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	if len(a.Via) == 0 {
		answer, err := n.peers.Exchange(callCtx, a.Address, e)
		n.send(ctx, probedEvent{probe: a, answer: answer, err: err})
		return
	}
	for _, via := range a.Via {
		go n.probeVia(ctx, a, via)
	}
}

// probeVia asks another member to probe, and sends only a success to the
// control goroutine.
func (n *Node) probeVia(ctx context.Context, a member.Probe, via string) {
	callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	result, err := n.peers.Probe(callCtx, via, peer.ProbeRequest{Address: a.Address, ID: a.ID})
	if err == nil && result.From != nil {
		n.send(ctx, probedEvent{probe: a, answer: peer.Exchange{From: *result.From}})
	}
}

// probedEvent carries the outcome of a probe.
type probedEvent struct {
	probe  member.Probe
	answer peer.Exchange
	err    error
}

func (e probedEvent) apply(c *control) {
	now := time.Now()
	if e.err != nil {
		c.detector.ProbeFailed(now, e.probe.ID)
		return
	}
	c.handleExchange(now, e.answer)
}

// handleExchange records a sign of life of another instance and merges its
// gossip. It schedules a full sync if the instance is new.
func (c *control) handleExchange(now time.Time, e peer.Exchange) {
	_, known := c.detector.Get(e.From.ID)
	c.detector.HeardFrom(now, e.From.Member())
	c.mergeEntries(e.Entries)
	if !known {
		c.nextSync = now
	}
}

// Exchange implements peer.Handler.
func (p peerHandler) Exchange(ctx context.Context, e peer.Exchange) (peer.Exchange, error) {
	answer := make(chan peer.Exchange, 1)
	return sendAndWait(ctx, p.Node, exchangeEvent{message: e, answer: answer}, answer)
}

// exchangeEvent carries a probe of this instance by another.
type exchangeEvent struct {
	message peer.Exchange
	answer  chan<- peer.Exchange
}

func (e exchangeEvent) apply(c *control) {
	// Build the answer first: the probe itself is a sign of life, which clears
	// the suspicion that the answer has to report.
	answer := c.newExchange(e.message.From.ID)
	c.handleExchange(time.Now(), e.message)
	answer.From = peer.NewStatus(c.detector.Self())
	e.answer <- answer
}

// Probe implements peer.Handler.
func (p peerHandler) Probe(ctx context.Context, q peer.ProbeRequest) (peer.ProbeResult, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	self := p.members.Load().self
	answer, err := p.peers.Exchange(ctx, q.Address, peer.Exchange{From: peer.NewStatus(self)})
	if err != nil {
		// The lack of an answer is the result, not a failure of this call.
		return peer.ProbeResult{}, nil
	}
	return peer.ProbeResult{From: &answer.From}, nil
}

// syncWith compares the gossip stores of this and another instance, by checksum
// and then by digest, and exchanges the entries in which they differ.
func (n *Node) syncWith(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, 4*peerTimeout)
	defer cancel()
	mine, err := n.handleSync(ctx, peer.SyncRequest{})
	if err != nil {
		return
	}
	theirs, err := n.peers.Sync(ctx, address, peer.SyncRequest{Checksum: mine.Checksum})
	if err != nil || theirs.Checksum == mine.Checksum {
		return
	}
	digest := make(chan map[string]uint64, 1)
	own, err := sendAndWait(ctx, n, digestEvent{answer: digest}, digest)
	if err != nil {
		return
	}
	theirs, err = n.peers.Sync(ctx, address, peer.SyncRequest{Digest: own})
	if err != nil {
		return
	}
	n.send(ctx, entriesReceivedEvent(theirs.Entries))
	if len(theirs.Wanted) == 0 {
		return
	}
	wanted := make(chan []gossip.Entry, 1)
	entries, err := sendAndWait(ctx, n, entriesEvent{keys: theirs.Wanted, answer: wanted}, wanted)
	if err == nil {
		_, _ = n.peers.Sync(ctx, address, peer.SyncRequest{Entries: entries})
	}
}

// Sync implements peer.Handler.
func (p peerHandler) Sync(ctx context.Context, s peer.SyncRequest) (peer.SyncResult, error) {
	return p.handleSync(ctx, s)
}

func (n *Node) handleSync(ctx context.Context, s peer.SyncRequest) (peer.SyncResult, error) {
	answer := make(chan peer.SyncResult, 1)
	return sendAndWait(ctx, n, syncEvent{message: s, answer: answer}, answer)
}

// syncEvent carries a request to compare another instance's gossip store with
// this instance's.
type syncEvent struct {
	message peer.SyncRequest
	answer  chan<- peer.SyncResult
}

func (e syncEvent) apply(c *control) {
	c.mergeEntries(e.message.Entries)
	result := peer.SyncResult{Checksum: c.gossip.Checksum()}
	if e.message.Digest != nil {
		result.Entries, result.Wanted = c.gossip.Compare(e.message.Digest)
	}
	e.answer <- result
}

// digestEvent asks for the digest of the gossip store.
type digestEvent struct{ answer chan<- map[string]uint64 }

func (e digestEvent) apply(c *control) { e.answer <- c.gossip.Digest() }

// entriesEvent asks for the gossip entries of some keys.
type entriesEvent struct {
	keys   []string
	answer chan<- []gossip.Entry
}

func (e entriesEvent) apply(c *control) {
	var entries []gossip.Entry
	for _, key := range e.keys {
		if entry, ok := c.gossip.Get(key); ok {
			entries = append(entries, entry)
		}
	}
	e.answer <- entries
}

// entriesReceivedEvent carries gossip entries from another instance.
type entriesReceivedEvent []gossip.Entry

func (e entriesReceivedEvent) apply(c *control) { c.mergeEntries(e) }

// RequestSlots implements peer.Handler.
func (p peerHandler) RequestSlots(ctx context.Context, a peer.SlotsRequest) (peer.SlotsResult, error) {
	answer := make(chan peer.SlotsResult, 1)
	return sendAndWait(ctx, p.Node, slotsRequestEvent{message: a, answer: answer}, answer)
}

// InheritSlots implements peer.Handler.
func (p peerHandler) InheritSlots(ctx context.Context, i peer.InheritRequest) (peer.Empty, error) {
	answer := make(chan peer.Empty, 1)
	return sendAndWait(ctx, p.Node, sharesInheritedEvent{message: i, answer: answer}, answer)
}

// poolKeyOf returns the key of the pool of which another member requests slots.
func poolKeyOf(a peer.SlotsRequest) dispatch.PoolKey {
	if a.Service != "" {
		return dispatch.PoolKey{Service: a.Service}
	}
	return dispatch.PoolKey{Target: rules.Target{Model: a.Model, Version: a.Version}}
}
