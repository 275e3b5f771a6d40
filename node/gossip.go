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

// Gossip keys and prefixes of keys.
const (
	keyHead     = "head"      // head of the newest configuration
	keyMember   = "member/"   // status of a member, by identifier
	keyRamp     = "ramp/"     // ramp level of an upstream
	keyEpoch    = "epoch/"    // slot epoch that a member acts on
	keyInForce  = "force/"    // revision of the rules in force at a member
	keyCrash    = "crash/"    // counts of runs that a request broke, by fingerprint and member
	keyRollout  = "rollout/"  // state of a roll-out
	keyTakeOut  = "take-out/" // an operator's take-out order, by failure domain
	keyLearner  = "learner/"  // learner of a class, by organisation, class and member
	keyEvidence = "evidence/" // evidence about a roll-out, by state key and member
)

// isUrgent reports whether entries with the key are sent before others: those
// that stop work at an upstream or version, and those that other entries depend
// on.
func isUrgent(key string) bool {
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
	// gossipMessageBytes bounds the size of the entries in one message.
	gossipMessageBytes = 1200
	// syncInterval is the mean time between full comparisons of the gossip
	// store with that of a random live member.
	syncInterval = 20 * time.Second
	// peerTimeout bounds one call to another instance.
	peerTimeout = member.ProbeTimeout
)

// rampLevelVersion encodes a ramp level as the version of its gossip entry.
func rampLevelVersion(l ramp.Level) uint64 { return uint64(l.Epoch)<<8 | uint64(l.Percent) }

// rampLevelFromVersion decodes what rampLevelVersion encoded.
func rampLevelFromVersion(version uint64) ramp.Level {
	return ramp.Level{Epoch: uint32(version >> 8), Percent: uint8(version)}
}

// newExchange returns a message to another instance: this instance's status,
// some gossip entries, and any suspicion about the receiver, so that it can
// refute it.
func (c *control) newExchange(to string) peer.Exchange {
	entries := c.gossip.Outgoing(len(c.detector.Members())+1, gossipMessageBytes)
	if suspicion, ok := c.detector.Suspicion(to); ok {
		entries = append(entries, memberEntry(suspicion))
	}
	return peer.Exchange{From: peer.NewStatus(c.detector.Self()), Entries: entries}
}

func memberEntry(s member.Status) gossip.Entry {
	return gossip.Entry{Key: keyMember + s.ID, Version: s.Version(), Data: mustMarshal(peer.NewStatus(s))}
}

// mergeEntries stores gossip entries from another instance and applies those
// that are new.
func (c *control) mergeEntries(entries []gossip.Entry) {
	now := time.Now()
	epochsChanged := false
	for _, e := range entries {
		if c.mergeOwnStatus(now, e) || !c.gossip.Put(e) {
			continue
		}
		epochsChanged = epochsChanged || strings.HasPrefix(e.Key, keyEpoch)
		switch {
		case e.Key == keyHead:
			c.mergeHead(e)
		case strings.HasPrefix(e.Key, keyMember):
			c.mergeMember(now, e)
		case strings.HasPrefix(e.Key, keyRamp):
			c.mergeRampLevel(now, e)
		case strings.HasPrefix(e.Key, keyEpoch):
			c.mergeActingEpoch(e)
		case strings.HasPrefix(e.Key, keyTakeOut):
			c.mergeTakeOut(e)
		case strings.HasPrefix(e.Key, keyCrash):
			c.node.crashes.merge(e)
		case strings.HasPrefix(e.Key, keyLearner):
			c.node.learners.merge(e)
		case strings.HasPrefix(e.Key, keyRollout), strings.HasPrefix(e.Key, keyEvidence):
			c.mergeRollout(e)
		}
	}
	if epochsChanged {
		c.publishMembers()
	}
}

// mergeOwnStatus passes an entry about this instance to the detector, which
// refutes a suspicion. It does so also for an entry that is already stored,
// since the suspicion may be repeated. It reports whether the entry was about
// this instance.
func (c *control) mergeOwnStatus(now time.Time, e gossip.Entry) bool {
	if e.Key != keyMember+c.node.identity.ID {
		return false
	}
	c.mergeMember(now, e)
	return true
}

func (c *control) mergeHead(e gossip.Entry) {
	var head revision.Head
	if json.Unmarshal(e.Data, &head) == nil {
		c.startFetch(head)
	}
}

func (c *control) mergeMember(now time.Time, e gossip.Entry) {
	var s peer.Status
	if json.Unmarshal(e.Data, &s) == nil {
		c.detector.Merge(now, s.Member())
	}
}

func (c *control) mergeRampLevel(now time.Time, e gossip.Entry) {
	id := strings.TrimPrefix(e.Key, keyRamp)
	level := rampLevelFromVersion(e.Version)
	c.rampLevels[id] = level
	c.node.slots.mergeRampLevel(now, id, level)
}

func (c *control) mergeActingEpoch(e gossip.Entry) {
	if e.Version > c.shares.Epoch().Number {
		c.node.requestEpochPoll()
	}
	agreed := c.shares.Agreed()
	c.shares.RecordActing(strings.TrimPrefix(e.Key, keyEpoch), e.Version)
	if c.shares.Agreed() != agreed {
		c.publishSnapshot()
	}
}

// requestEpochPoll makes the next poll read the epoch and starts it early.
func (n *Node) requestEpochPoll() {
	n.epochPollDue.Store(true)
	select {
	case n.wakePoll <- struct{}{}:
	default:
	}
}

// publishMemberChanges gossips the member statuses that have changed, and
// updates the published members, the replicas of the charges and the epoch.
func (c *control) publishMemberChanges() {
	changes := c.detector.Changes()
	if len(changes) == 0 {
		return
	}
	for _, s := range changes {
		c.gossip.Put(memberEntry(s))
		c.handleMemberChange(s)
	}
	c.publishMembers()
	c.node.charges.membersChanged(c.node.members.Load())
	c.updateEpoch()
}

// publishMembers stores a new view of the members for requests.
func (c *control) publishMembers() {
	c.node.members.Store(newMembers(c.detector.Self(), c.detector.Members(), c.shares))
}

// handleMemberChange logs the new status of another member, and takes over the
// charges of a member that is gone.
func (c *control) handleMemberChange(s member.Status) {
	if s.ID == c.node.identity.ID {
		return
	}
	c.node.log.WithField("member", s.ID).WithField("state", s.State.String()).Info("member")
	if s.State == member.Gone {
		c.node.charges.takeOver(s.ID)
	}
}

// pruneGossip deletes the entries of members that are gone, expired entries and
// expired learners.
func (c *control) pruneGossip(now time.Time) {
	for key := range c.gossip.Digest() {
		if e, ok := c.gossip.Get(key); ok && (c.isOrphaned(key) || isOutdated(now, e)) {
			c.gossip.Delete(key)
		}
	}
	c.node.learners.dropExpired(now)
}

// memberKeyPrefixes are the prefixes of keys that end with the identifier of
// the one member that writes them, and whose entries are useless without that
// member.
var memberKeyPrefixes = [...]string{keyEpoch, keyInForce, keyEvidence}

// isOrphaned reports whether the one member that writes a key is gone and not
// in the epoch.
func (c *control) isOrphaned(key string) bool {
	for _, prefix := range memberKeyPrefixes {
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

// isOutdated reports whether an entry about a learner or a crash has expired.
func isOutdated(now time.Time, e gossip.Entry) bool {
	switch {
	case strings.HasPrefix(e.Key, keyLearner):
		return now.Sub(time.UnixMilli(int64(e.Version))) > learnerRetention
	case strings.HasPrefix(e.Key, keyCrash):
		var count crash.Counts
		return json.Unmarshal(e.Data, &count) == nil && now.Sub(count.LastBroken) > 2*crash.Retention
	}
	return false
}

// syncWithRandomMember compares the gossip store with that of a random live
// member about every syncInterval, so that lost gossip arrives eventually.
func (c *control) syncWithRandomMember(now time.Time) {
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
	c.pruneGossip(now)
	go c.node.syncWith(c.ctx, live[rand.IntN(len(live))].Address)
}
