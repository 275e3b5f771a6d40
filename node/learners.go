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
	// learnerGossipInterval is the time between gossip about learners in a
	// small deployment.
	learnerGossipInterval = 30 * time.Second
	// membersPerLearnerInterval is the number of live members by which the
	// interval grows once more by learnerGossipInterval.
	membersPerLearnerInterval = 7
	// learnerRetention is the age of the newest rating above which another
	// instance's learner is dropped.
	learnerRetention = time.Hour
	// learnersPerInterval bounds the learners gossiped in one interval.
	learnersPerInterval = 20
)

// learners holds the learner of each class: this instance's own, and the newest
// received from each other instance. It is safe for concurrent use.
type learners struct {
	mu       sync.Mutex
	own      map[learnerKey]*cascade.Learner            // guarded by mu
	others   map[learnerKey]map[string]*cascade.Learner // guarded by mu; by instance
	lastSent map[learnerKey]time.Time                   // guarded by mu; newest rating that was gossiped
	random   *rand.Rand                                 // guarded by mu
}

type learnerKey struct{ organisation, class string }

// String returns the key as it stands in gossip keys.
func (k learnerKey) String() string { return k.organisation + "/" + k.class }

func newLearners() *learners {
	return &learners{
		own:      map[learnerKey]*cascade.Learner{},
		others:   map[learnerKey]map[string]*cascade.Learner{},
		lastSent: map[learnerKey]time.Time{},
		random:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// ownLearner returns this instance's learner of a class, and creates it if
// necessary. The caller must hold mu.
func (l *learners) ownLearner(k learnerKey) *cascade.Learner {
	if l.own[k] == nil {
		l.own[k] = &cascade.Learner{}
	}
	return l.own[k]
}

// choose decides which model a request of a class starts with, by the merged
// learners.
func (l *learners) choose(k learnerKey, s cascade.ChooseParams) cascade.Choice {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := l.merged(k)
	return all.Choose(time.Now(), s, l.random)
}

// merged returns the learner of a class merged over all instances. The caller
// must hold mu.
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

// samplesRating reports whether an answer is in the random sample that is rated
// without making its caller wait.
func (l *learners) samplesRating() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.random.Float64() < backgroundRatingShare
}

// takeChanges returns entries for this instance's learners that have ratings
// newer than those gossiped last, up to learnersPerInterval, and marks them as
// gossiped.
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

// merge stores another instance's learner, which replaces its earlier one.
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

// dropExpired drops other instances' learners that are older than
// learnerRetention.
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

// gossipLearners gossips this instance's learners that have changed.
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
