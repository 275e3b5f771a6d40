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
	// learnerInterval is the time between messages about what was learnt in a
	// small deployment; it grows with the members.
	learnerInterval = 30 * time.Second
	// membersPerLearner is the number of members from which on it grows.
	membersPerLearner = 7
	// learnerMemory is the age of its newest rating at which a learner is
	// forgotten.
	learnerMemory = time.Hour
	// learnersPerMessage bounds the classes in one interval.
	learnersPerMessage = 20
)

// learners guards what is known about the classes: what this instance has
// learnt, and the newest that others have spread.
type learners struct {
	mu     sync.Mutex
	own    map[learnerKey]*cascade.Learner            // guarded by mu
	others map[learnerKey]map[string]*cascade.Learner // guarded by mu; by instance
	spread map[learnerKey]time.Time                   // guarded by mu; newest rating that was spread
	random *rand.Rand                                 // guarded by mu
}

type learnerKey struct{ organisation, class string }

// String returns the key as gossip has it.
func (k learnerKey) String() string { return k.organisation + "/" + k.class }

func newLearners() *learners {
	return &learners{
		own:    map[learnerKey]*cascade.Learner{},
		others: map[learnerKey]map[string]*cascade.Learner{},
		spread: map[learnerKey]time.Time{},
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// learner returns this instance's learner of a class. Its caller holds mu.
func (l *learners) learner(k learnerKey) *cascade.Learner {
	if l.own[k] == nil {
		l.own[k] = &cascade.Learner{}
	}
	return l.own[k]
}

func (l *learners) choose(k learnerKey, s cascade.ChooseParams) cascade.Choice {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := l.all(k)
	return all.Choose(time.Now(), s, l.random)
}

// all returns what all instances have learnt about a class. Its caller holds
// mu.
func (l *learners) all(k learnerKey) cascade.Learner {
	all := *l.learner(k)
	for _, o := range l.others[k] {
		all.Merge(o)
	}
	return all
}

func (l *learners) rated(k learnerKey, b cascade.Bucket, sufficed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.learner(k).RecordRating(time.Now(), b, sufficed)
}

func (l *learners) unrated(k learnerKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.learner(k).RecordRatingFailure(time.Now())
}

// sample reports whether an answer is among those that are rated without their
// caller waiting.
func (l *learners) sample() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.random.Float64() < backgroundRatingShare
}

// fresh returns what this instance has learnt since it was spread last.
func (l *learners) fresh(self string) []gossip.Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	var entries []gossip.Entry
	for k, learner := range l.own {
		if !learner.NewestRating.After(l.spread[k]) || len(entries) == learnersPerMessage {
			continue
		}
		l.spread[k] = learner.NewestRating
		entries = append(entries, gossip.Entry{
			Key:     keyLearner + k.String() + "/" + self,
			Version: uint64(learner.NewestRating.UnixMilli()),
			Data:    mustMarshal(learner),
		})
	}
	return entries
}

// learn takes what another instance has learnt into account.
func (l *learners) learn(e gossip.Entry) {
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

// forget drops what other instances learnt long ago.
func (l *learners) forget(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, byInstance := range l.others {
		for id, learner := range byInstance {
			if now.Sub(learner.NewestRating) > learnerMemory {
				delete(byInstance, id)
			}
		}
	}
}

// spreadLearners passes on what this instance has learnt.
func (c *control) spreadLearners(now time.Time) {
	if now.Before(c.nextLearners) {
		return
	}
	live := len(c.node.members.Load().live)
	c.nextLearners = now.Add(learnerInterval * time.Duration(1+live/membersPerLearner))
	for _, e := range c.node.learners.fresh(c.node.identity.ID) {
		c.gossip.Put(e)
	}
}
