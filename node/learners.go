package node

import (
	"encoding/json"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"banyanyard/core/cascade"
	"banyanyard/core/gossip"
)

const (
	// learnerGossipInterval is the time between messages about what was learnt in a
	// small deployment; it grows with the members.
	learnerGossipInterval = 30 * time.Second
	// membersPerLearnerInterval is the number of members from which on it grows.
	membersPerLearnerInterval = 7
	// learnerRetention is the age of its newest rating at which a learner is
	// forgotten.
	learnerRetention = time.Hour
	// learnersPerInterval bounds the classes in one interval.
	learnersPerInterval = 20
)

// learners guards what is known about the classes: what this instance has
// learnt, and the newest that others have spread.
type learners struct {
	mu       sync.Mutex
	own      map[learnerKey]*cascade.Learner            // guarded by mu
	others   map[learnerKey]map[string]*cascade.Learner // guarded by mu; by instance
	lastSent map[learnerKey]time.Time                   // guarded by mu; newest rating that was spread
	random   *rand.Rand                                 // guarded by mu
}

type learnerKey struct{ organisation, class string }

// String returns the key as gossip has it.
func (k learnerKey) String() string { return k.organisation + "/" + k.class }

func newLearners() *learners {
	return &learners{
		own:      map[learnerKey]*cascade.Learner{},
		others:   map[learnerKey]map[string]*cascade.Learner{},
		lastSent: map[learnerKey]time.Time{},
		random:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// ownLearner returns this instance's ownLearner of a class. Its caller holds mu.
func (l *learners) ownLearner(k learnerKey) *cascade.Learner {
	if l.own[k] == nil {
		l.own[k] = &cascade.Learner{}
	}
	return l.own[k]
}

func (l *learners) choose(k learnerKey, s cascade.ChooseParams) cascade.Choice {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := l.merged(k)
	return all.Choose(time.Now(), s, l.random)
}

// merged returns what merged instances have learnt about a class. Its caller holds
// mu.
func (l *learners) merged(k learnerKey) cascade.Learner {
	all := *l.ownLearner(k)
	for _, o := range l.others[k] {
		all.Merge(o)
	}
	return all
}

func (l *learners) recordRating(k learnerKey, b cascade.Bucket, sufficed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ownLearner(k).RecordRating(time.Now(), b, sufficed)
}

func (l *learners) recordRatingFailure(k learnerKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ownLearner(k).RecordRatingFailure(time.Now())
}

// samplesRating reports whether an answer is among those that are rated without their
// caller waiting.
func (l *learners) samplesRating() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.random.Float64() < ratedShare
}

// takeChanges returns what this instance has learnt since it was spread last.
func (l *learners) takeChanges(self string) []gossip.Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	var entries []gossip.Entry
	for k, learner := range l.own {
		if !learner.NewestRating.After(l.lastSent[k]) || len(entries) == learnersPerInterval {
			continue
		}
		l.lastSent[k] = learner.NewestRating
		entries = append(entries, gossip.Entry{
			Key:     keyLearner + k.String() + "/" + self,
			Version: uint64(learner.NewestRating.UnixMilli()),
			Data:    mustMarshal(learner),
		})
	}
	return entries
}

// merge takes what another instance has learnt into account.
func (l *learners) merge(e gossip.Entry) {
	parts := strings.Split(strings.TrimPrefix(e.Key, keyLearner), "/")
	var learner cascade.Learner
	if len(parts) != 3 || json.Unmarshal(e.Data, &learner) != nil {
		return
	}
	k := learnerKey{organisation: parts[0], class: parts[1]}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.others[k] == nil {
		l.others[k] = map[string]*cascade.Learner{}
	}
	l.others[k][parts[2]] = &learner
}

// dropExpired drops what other instances learnt long ago.
func (l *learners) dropExpired(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, byInstance := range l.others {
		for id, learner := range byInstance {
			if now.Sub(learner.NewestRating) > learnerRetention {
				delete(byInstance, id)
			}
		}
	}
}

// gossipLearners passes on what this instance has learnt.
func (c *control) gossipLearners(now time.Time) {
	if now.Before(c.nextLearnerGossip) {
		return
	}
	live := len(c.node.members.Load().live)
	c.nextLearnerGossip = now.Add(learnerGossipInterval * time.Duration(1+live/membersPerLearnerInterval))
	for _, e := range c.node.learners.takeChanges(c.node.identity.ID) {
		c.gossip.Put(e)
	}
}
