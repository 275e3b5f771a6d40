package node

import (
	"encoding/json"
	"math/rand/v2"
	"strings"
	"time"

	"banyanyard/core/crash"
	"banyanyard/core/gossip"
	"banyanyard/core/member"
	"banyanyard/core/ramp"
	"banyanyard/core/revision"
	"banyanyard/io/peer"
)

// Prefixes of the keys in gossip.
const (
	keyHead     = "head"      // the newest configuration
	keyMember   = "member/"   // status of a member, by identifier
	keyRamp     = "ramp/"     // ramp level of an upstream
	keyEpoch    = "epoch/"    // epoch that a member acts on
	keyForce    = "force/"    // revision that a member has in force
	keyCrash    = "crash/"    // broken runs of a request, by fingerprint and member
	keyRollout  = "rollout/"  // state of a roll-out
	keyTakeOut  = "take-out/" // a failure domain taken out beside the rules
	keyLearner  = "learner/"  // what a member has learnt about a class
	keyEvidence = "evidence/" // evidence about a roll-out, by member
)

// urgent reports whether an entry goes before all others: what takes work away,
// and what other entries depend on.
func urgent(key string) bool {
	if key == keyHead {
		return true
	}
	for _, prefix := range [...]string{keyTakeOut, keyRollout, keyMember, keyEpoch} {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}

const (
	// gossipBytes bounds the entries in one message.
	gossipBytes = 1200
	// syncInterval is the time between full comparisons with one other member.
	syncInterval = 20 * time.Second
	// peerTimeout bounds a call of another instance.
	peerTimeout = member.ProbeTimeout
)

func levelVersion(l ramp.Level) uint64 { return uint64(l.Epoch)<<8 | uint64(l.Percent) }

func levelOf(version uint64) ramp.Level {
	return ramp.Level{Epoch: uint32(version >> 8), Percent: uint8(version)}
}

// exchange returns a message to another instance: this instance's status, some
// gossip, and what the other has to refute.
func (c *control) exchange(to string) peer.Exchange {
	entries := c.gossip.Outgoing(len(c.detector.Members())+1, gossipBytes)
	if doubts, ok := c.detector.Suspicion(to); ok {
		entries = append(entries, memberEntry(doubts))
	}
	return peer.Exchange{From: peer.NewStatus(c.detector.Self()), Entries: entries}
}

func memberEntry(s member.Status) gossip.Entry {
	return gossip.Entry{Key: keyMember + s.ID, Version: s.Version(), Data: mustMarshal(peer.NewStatus(s))}
}

// learn takes entries from another instance into account.
func (c *control) learn(entries []gossip.Entry) {
	now := time.Now()
	acting := false
	for _, e := range entries {
		if c.aboutSelf(now, e) || !c.gossip.Put(e) {
			continue
		}
		acting = acting || strings.HasPrefix(e.Key, keyEpoch)
		switch {
		case e.Key == keyHead:
			c.learnHead(e)
		case strings.HasPrefix(e.Key, keyMember):
			c.learnMember(now, e)
		case strings.HasPrefix(e.Key, keyRamp):
			c.learnLevel(now, e)
		case strings.HasPrefix(e.Key, keyEpoch):
			c.learnActing(e)
		case strings.HasPrefix(e.Key, keyTakeOut):
			c.learnTakeOut(e)
		case strings.HasPrefix(e.Key, keyCrash):
			c.node.crashes.merge(e)
		case strings.HasPrefix(e.Key, keyLearner):
			c.node.learners.learn(e)
		case strings.HasPrefix(e.Key, keyRollout), strings.HasPrefix(e.Key, keyEvidence):
			c.learnRollout(e)
		}
	}
	if acting {
		c.showMembers()
	}
}

// aboutSelf refutes what others doubt about this instance, also when gossip has
// brought the same doubt before.
func (c *control) aboutSelf(now time.Time, e gossip.Entry) bool {
	if e.Key != keyMember+c.node.identity.ID {
		return false
	}
	c.learnMember(now, e)
	return true
}

func (c *control) learnHead(e gossip.Entry) {
	var head revision.Head
	if json.Unmarshal(e.Data, &head) == nil {
		c.fetch(head)
	}
}

func (c *control) learnMember(now time.Time, e gossip.Entry) {
	var s peer.Status
	if json.Unmarshal(e.Data, &s) == nil {
		c.detector.Merge(now, s.Member())
	}
}

func (c *control) learnLevel(now time.Time, e gossip.Entry) {
	id := strings.TrimPrefix(e.Key, keyRamp)
	level := levelOf(e.Version)
	c.levels[id] = level
	c.node.slots.merge(now, id, level)
}

func (c *control) learnActing(e gossip.Entry) {
	if e.Version > c.shares.Epoch().Number {
		c.node.wakePoll()
	}
	agreed := c.shares.Agreed()
	c.shares.RecordActing(strings.TrimPrefix(e.Key, keyEpoch), e.Version)
	if c.shares.Agreed() != agreed {
		c.publish()
	}
}

// wakePoll has the epoch read soon.
func (n *Node) wakePoll() {
	n.epochNewer.Store(true)
	select {
	case n.pollNow <- struct{}{}:
	default:
	}
}

// noteMembers spreads the statuses that have changed, and lets what depends on
// the members follow.
func (c *control) noteMembers() {
	changes := c.detector.Changes()
	if len(changes) == 0 {
		return
	}
	for _, s := range changes {
		c.gossip.Put(memberEntry(s))
		c.noteMember(s)
	}
	c.showMembers()
	c.node.charges.membersChanged(c.node.members.Load())
	c.keepEpoch()
}

// showMembers makes the members visible to requests.
func (c *control) showMembers() {
	c.node.members.Store(newMembers(c.detector.Self(), c.detector.Members(), c.shares))
}

func (c *control) noteMember(s member.Status) {
	if s.ID == c.node.identity.ID {
		return
	}
	c.node.log.WithField("member", s.ID).WithField("state", s.State.String()).Info("member")
	if s.State == member.Gone {
		c.node.charges.takeOver(s.ID)
	}
}

// prune forgets what gossip holds about members that are forgotten, and what
// has lost its meaning with time.
func (c *control) prune(now time.Time) {
	for key := range c.gossip.Digest() {
		if e, ok := c.gossip.Get(key); ok && (c.orphaned(key) || outdated(now, e)) {
			c.gossip.Delete(key)
		}
	}
	c.node.learners.forget(now)
}

// ownedPrefixes begin the keys that one member writes, whose identifier ends
// them, and that mean nothing without it.
var ownedPrefixes = [...]string{keyEpoch, keyForce, keyEvidence}

// orphaned reports whether the member that alone writes a key is gone for good.
func (c *control) orphaned(key string) bool {
	for _, prefix := range ownedPrefixes {
		if !strings.HasPrefix(key, prefix) {
			continue
		}
		id := key[strings.LastIndexByte(key, '/')+1:]
		epoch := c.shares.Epoch()
		s, known := c.detector.Get(id)
		return id != c.node.identity.ID && (!known || s.State == member.Gone) && !epoch.HasMember(id)
	}
	return false
}

// outdated reports whether an entry is too old to matter.
func outdated(now time.Time, e gossip.Entry) bool {
	switch {
	case strings.HasPrefix(e.Key, keyLearner):
		return now.Sub(time.UnixMilli(int64(e.Version))) > learnerMemory
	case strings.HasPrefix(e.Key, keyCrash):
		var count crash.Counts
		return json.Unmarshal(e.Data, &count) == nil && now.Sub(count.LastBroken) > 2*crash.Retention
	}
	return false
}

// syncWithOne compares everything with one live member now and then, so that
// gossip which was lost arrives in the end.
func (c *control) syncWithOne(now time.Time) {
	if now.Before(c.nextSync) {
		return
	}
	var live []member.Status
	for _, s := range c.detector.Members() {
		if s.State <= member.Leaving {
			live = append(live, s)
		}
	}
	if len(live) == 0 {
		return
	}
	c.nextSync = now.Add(syncInterval/2 + rand.N(syncInterval))
	c.prune(now)
	go c.node.syncWith(c.ctx, live[rand.IntN(len(live))].Address)
}
