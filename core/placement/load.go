package placement

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"banyanyard/core/load"
)

const (
	// minSharedInstances is the number of instances from which on the load of all
	// decides. Fewer instances run enough attempts each to judge by their own, which
	// they know without delay.
	minSharedInstances = 16
	// maxOwnSlots is the number of slots of an upstream per instance above which, too,
	// an instance's own attempts show its load.
	maxOwnSlots = 0.5
	// sharedLoadTimeout is how long the load of all instances is used without a
	// newer one. After that, only this instance's own attempts are known.
	sharedLoadTimeout = 2 * time.Second
	// maxAffinityGroups bounds the groups of instances that each send the requests
	// with an affinity key to an upstream of their own. A key that is in much demand
	// is thus spread over several upstreams, whatever is known of their load.
	maxAffinityGroups = 6
	// localLoadFactor is how many times the mean load of all upstreams those of this
	// failure domain may have before others are used as well.
	localLoadFactor = 1.3
	// localSlackAttempts and localSlackLoad are what they may have in addition: own
	// attempts at each, or load per slot.
	localSlackAttempts = 1.0
	localSlackLoad     = 0.1
	// minGroupInstances is the number of instances per group: with fewer, groups
	// would not see the same prompts again.
	minGroupInstances = 4
	// affinityLoad is the number of attempts up to which an upstream gets all requests
	// with its affinity keys: reading a prompt again is cheaper than slowing down a
	// larger batch, however many slots the upstream has.
	affinityLoad = 5.0
	// domainPreference is the load per slot by which an upstream of this failure
	// domain may exceed one of another.
	domainPreference = 0.25
)

// SetLoad sets the load of the instances of this failure domain. The other failure domains
// are taken to have the same load for each of their instances.
func (f *Fleet) SetLoad(now time.Time, s load.Sum) {
	if s.Instances <= 0 {
		return
	}
	scale := max(1, float64(len(f.instanceNames))/float64(s.Instances))
	f.loadSetAt = now
	f.loadAge = s.Age
	for id, u := range f.byID {
		u.sharedRunning = scale * float64(s.Running[id])
		u.startedSince = 0
		u.prompts.setShared(scale * load.UnreadUnit * float64(s.Unread[id]))
	}
	if s.Pace != nil {
		f.setPace(s.Pace)
	}
	f.updatePredictions(now)
}

// Load returns the load of this instance, with its evidence of the pace of upstreams if
// that is asked for.
func (f *Fleet) Load(now time.Time, pace bool) load.Sum {
	s := load.Sum{Instances: 1, Running: f.Running(), Unread: map[string]int{}}
	for id, u := range f.byID {
		if n := int(math.Round(u.prompts.unread / load.UnreadUnit)); n > 0 {
			s.Unread[id] = n
		}
	}
	if pace {
		s.Pace = f.ownPace(now)
	}
	return s
}

// Running returns the attempts of this instance in progress by upstream.
func (f *Fleet) Running() map[string]int {
	running := map[string]int{}
	for id, u := range f.byID {
		if u.runningAttempts > 0 {
			running[id] = u.runningAttempts
		}
	}
	return running
}

// usesSharedLoad reports whether the load of all instances is known and decides
// among the upstreams.
func (f *Fleet) usesSharedLoad(now time.Time, us []*upstream) bool {
	return f.knowsLoad(now) && float64(us[0].Slots) <= maxOwnSlots*float64(len(f.instanceNames))
}

// knowsLoad reports whether there are so many instances that the load of all matters, and
// it is known.
func (f *Fleet) knowsLoad(now time.Time) bool {
	return len(f.instanceNames) >= minSharedInstances && !f.loadSetAt.IsZero() && now.Sub(f.loadSetAt) < sharedLoadTimeout
}

// load returns the estimated number of attempts that run at the upstream, from all
// instances.
func (u *upstream) load() float64 {
	return max(u.sharedRunning+float64(u.startedSince), float64(u.runningAttempts))
}

// relativeLoad returns the load per slot.
func (u *upstream) relativeLoad() float64 { return u.load() / float64(max(u.Slots, 1)) }

// preferLocal returns the upstreams of this failure domain, unless there are none or
// their mean load is much higher than that of all. Each domain thus reads a shared
// prompt once, and its requests and streams stay in the domain.
func (f *Fleet) preferLocal(us []*upstream, load func(*upstream) float64, slack float64) []*upstream {
	local := prefer(us, func(u *upstream) bool { return u.FailureDomain == f.domain })
	if mean(local, load) > slack+localLoadFactor*mean(us, load) {
		return us
	}
	return local
}

func mean(us []*upstream, value func(*upstream) float64) float64 {
	sum := 0.0
	for _, u := range us {
		sum += value(u)
	}
	return sum / float64(len(us))
}

// meanLoad returns the mean load per slot.
func meanLoad(us []*upstream) float64 { return mean(us, (*upstream).relativeLoad) }

// pickByAffinity returns the first upstream in the key's order. The more that is
// loaded beyond affinityLoad, or the mean load if that is higher, the more probably it is replaced by the less loaded of two others: a fixed
// bound would send all instances to the same replacement until they learn of its
// load.
func (f *Fleet) pickByAffinity(us []*upstream, key string) *upstream {
	var best *upstream
	var bestScore uint64
	for _, u := range us {
		if s := rendezvousScore(key, u.ID); best == nil || s > bestScore {
			best, bestScore = u, s
		}
	}
	bound := max(affinityLoad/float64(max(best.Slots, 1)), meanLoad(us))
	if over := best.relativeLoad()/bound - 1; f.random.Float64() < over {
		return f.lessLoadedOfTwo(us)
	}
	return best
}

// relieve returns the upstreams of a partition, or all instead, the more probably
// the more requests wait at those of the partition.
func (f *Fleet) relieve(part, all []*upstream) []*upstream {
	if over := meanLoad(part) - max(1, meanLoad(all)); f.random.Float64() < over {
		return all
	}
	return part
}

// groupKey returns the affinity key of this instance's group. The failure domains of
// the upstreams are groups already, so that the groups of all add up to about
// maxAffinityGroups.
func (f *Fleet) groupKey(key string, us []*upstream) string {
	domains := map[string]bool{}
	for _, u := range us {
		domains[u.FailureDomain] = true
	}
	groups := max(1, min(maxAffinityGroups, len(f.instanceNames)/minGroupInstances)/len(domains))
	return key + "/" + strconv.FormatUint(rendezvousScore("group", f.instance)%uint64(groups), 10)
}

// pickByLoad returns the less loaded of two random upstreams, of this failure domain
// unless others have much less load.
func (f *Fleet) pickByLoad(us []*upstream) *upstream {
	far := f.lessLoadedOfTwo(us)
	local := prefer(us, func(u *upstream) bool { return u.FailureDomain == f.domain })
	if near := f.lessLoadedOfTwo(local); near.relativeLoad() <= far.relativeLoad()+domainPreference {
		return near
	}
	return far
}

// lessLoadedOfTwo returns the less loaded of two random upstreams, which spreads
// the requests of instances that know the same loads.
func (f *Fleet) lessLoadedOfTwo(us []*upstream) *upstream {
	a, b := us[f.random.IntN(len(us))], us[f.random.IntN(len(us))]
	if b.relativeLoad() < a.relativeLoad() {
		return b
	}
	return a
}

// newRandom returns the source of an instance's choices, which differ from those of
// other instances.
func newRandom(instance string) *rand.Rand {
	return rand.New(rand.NewPCG(rendezvousScore("random", instance), rendezvousScore("seed", instance)))
}
