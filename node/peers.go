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

func seedOf(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}

// A peerHandler answers other instances for a node.
type peerHandler struct{ *Node }

// probe sends a probe and reports its outcome to the control goroutine.
func (n *Node) probe(ctx context.Context, a member.Probe, e peer.Exchange) {
	callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	if len(a.Via) == 0 {
		answer, err := n.peers.Exchange(callCtx, a.Address, e)
		n.send(ctx, probed{probe: a, answer: answer, err: err})
		return
	}
	for _, via := range a.Via {
		go n.probeVia(ctx, a, via)
	}
}

func (n *Node) probeVia(ctx context.Context, a member.Probe, via string) {
	callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	result, err := n.peers.Probe(callCtx, via, peer.ProbeRequest{Address: a.Address, ID: a.ID})
	if err == nil && result.From != nil {
		n.send(ctx, probed{probe: a, answer: peer.Exchange{From: *result.From}})
	}
}

// probed is the outcome of a probe.
type probed struct {
	probe  member.Probe
	answer peer.Exchange
	err    error
}

func (e probed) apply(c *control) {
	now := time.Now()
	if e.err != nil {
		c.detector.ProbeFailed(now, e.probe.ID)
		return
	}
	c.heard(now, e.answer)
}

// heard takes the message of another instance into account.
func (c *control) heard(now time.Time, e peer.Exchange) {
	_, known := c.detector.Get(e.From.ID)
	c.detector.HeardFrom(now, e.From.Member())
	c.learn(e.Entries)
	if !known {
		c.nextSync = now
	}
}

// Exchange implements peer.Handler.
func (p peerHandler) Exchange(ctx context.Context, e peer.Exchange) (peer.Exchange, error) {
	answer := make(chan peer.Exchange, 1)
	return ask(ctx, p.Node, exchanged{message: e, answer: answer}, answer)
}

// exchanged is a probe of this instance.
type exchanged struct {
	message peer.Exchange
	answer  chan<- peer.Exchange
}

func (e exchanged) apply(c *control) {
	// What this instance doubts has to be read before the probe itself counts
	// as a sign of life.
	answer := c.exchange(e.message.From.ID)
	c.heard(time.Now(), e.message)
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
		// That nothing answered is the result, not a failure of this call.
		return peer.ProbeResult{}, nil
	}
	return peer.ProbeResult{From: &answer.From}, nil
}

// syncWith compares the gossip stores with another instance.
func (n *Node) syncWith(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, 4*peerTimeout)
	defer cancel()
	mine, err := n.compare(ctx, peer.SyncRequest{})
	if err != nil {
		return
	}
	theirs, err := n.peers.Sync(ctx, address, peer.SyncRequest{Checksum: mine.Checksum})
	if err != nil || theirs.Checksum == mine.Checksum {
		return
	}
	digest := make(chan map[string]uint64, 1)
	own, err := ask(ctx, n, digestAsked{answer: digest}, digest)
	if err != nil {
		return
	}
	theirs, err = n.peers.Sync(ctx, address, peer.SyncRequest{Digest: own})
	if err != nil {
		return
	}
	n.send(ctx, entriesHeard(theirs.Entries))
	if len(theirs.Wanted) == 0 {
		return
	}
	wanted := make(chan []gossip.Entry, 1)
	entries, err := ask(ctx, n, entriesAsked{keys: theirs.Wanted, answer: wanted}, wanted)
	if err == nil {
		_, _ = n.peers.Sync(ctx, address, peer.SyncRequest{Entries: entries})
	}
}

// Sync implements peer.Handler.
func (p peerHandler) Sync(ctx context.Context, s peer.SyncRequest) (peer.SyncResult, error) {
	return p.compare(ctx, s)
}

func (n *Node) compare(ctx context.Context, s peer.SyncRequest) (peer.SyncResult, error) {
	answer := make(chan peer.SyncResult, 1)
	return ask(ctx, n, compared{message: s, answer: answer}, answer)
}

// compared is a comparison with this instance's gossip.
type compared struct {
	message peer.SyncRequest
	answer  chan<- peer.SyncResult
}

func (e compared) apply(c *control) {
	c.learn(e.message.Entries)
	result := peer.SyncResult{Checksum: c.gossip.Checksum()}
	if e.message.Digest != nil {
		result.Entries, result.Wanted = c.gossip.Compare(e.message.Digest)
	}
	e.answer <- result
}

type digestAsked struct{ answer chan<- map[string]uint64 }

func (e digestAsked) apply(c *control) { e.answer <- c.gossip.Digest() }

type entriesAsked struct {
	keys   []string
	answer chan<- []gossip.Entry
}

func (e entriesAsked) apply(c *control) {
	var entries []gossip.Entry
	for _, key := range e.keys {
		if entry, ok := c.gossip.Get(key); ok {
			entries = append(entries, entry)
		}
	}
	e.answer <- entries
}

type entriesHeard []gossip.Entry

func (e entriesHeard) apply(c *control) { c.learn(e) }

// RequestSlots implements peer.Handler.
func (p peerHandler) RequestSlots(ctx context.Context, a peer.SlotsRequest) (peer.SlotsResult, error) {
	answer := make(chan peer.SlotsResult, 1)
	return ask(ctx, p.Node, slotsAsked{message: a, answer: answer}, answer)
}

// InheritSlots implements peer.Handler.
func (p peerHandler) InheritSlots(ctx context.Context, i peer.InheritRequest) (peer.Empty, error) {
	answer := make(chan peer.Empty, 1)
	return ask(ctx, p.Node, slotsInherited{message: i, answer: answer}, answer)
}

func poolOf(a peer.SlotsRequest) dispatch.PoolKey {
	if a.Service != "" {
		return dispatch.PoolKey{Service: a.Service}
	}
	return dispatch.PoolKey{Target: rules.Target{Model: a.Model, Version: a.Version}}
}
